#include "held_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

HeldPort::HeldPort(Protocol protocol,
                   const std::string& address,
                   std::uint16_t port)
    : m_socket(socket(AF_INET,
                      (protocol == Protocol::kUdp ? SOCK_DGRAM : SOCK_STREAM) |
                          SOCK_CLOEXEC,
                      0)) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
  const bool is_bound =
      bind(m_socket, reinterpret_cast<const sockaddr*>(&endpoint),
           sizeof(endpoint)) == 0;
  if (!is_bound ||
      (protocol == Protocol::kTcp && listen(m_socket, SOMAXCONN) != 0))
    throw std::system_error(errno, std::generic_category(), address);
}

HeldPort::~HeldPort() {
  close(m_socket);
}
