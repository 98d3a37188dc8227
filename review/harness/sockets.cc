#include "sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace review {

namespace {

constexpr int kBacklog = 256;

sockaddr_in ToSystem(base::Endpoint endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.m_port);
  address.sin_addr.s_addr = htonl(endpoint.m_address.value());
  return address;
}

int Open(int type) {
  const int descriptor =
      socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    throw std::system_error(errno, std::generic_category(), "socket");
  return descriptor;
}

void Bind(int descriptor, base::Endpoint endpoint) {
  const sockaddr_in address = ToSystem(endpoint);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0)
    throw std::system_error(errno, std::generic_category(), ToString(endpoint));
}

}  // namespace

int BindDatagramSocket(base::Endpoint endpoint) {
  const int descriptor = Open(SOCK_DGRAM);
  Bind(descriptor, endpoint);
  return descriptor;
}

int ListenOn(base::Endpoint endpoint) {
  const int descriptor = Open(SOCK_STREAM);
  Bind(descriptor, endpoint);
  if (listen(descriptor, kBacklog) != 0)
    throw std::system_error(errno, std::generic_category(), ToString(endpoint));
  return descriptor;
}

int StartConnecting(base::Endpoint endpoint) {
  const int descriptor = Open(SOCK_STREAM);
  const sockaddr_in address = ToSystem(endpoint);
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result == 0 || errno == EINPROGRESS)
    return descriptor;
  close(descriptor);
  return -1;
}

int AcceptConnection(int listener) {
  return accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

void SendDatagram(int socket,
                  base::Endpoint to,
                  std::span<const std::uint8_t> bytes) {
  const sockaddr_in address = ToSystem(to);
  sendto(socket, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

std::int64_t ReceiveDatagram(int socket,
                             std::span<std::uint8_t> buffer,
                             base::Endpoint& from) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  const auto bytes = recvfrom(socket, buffer.data(), buffer.size(), 0,
                              reinterpret_cast<sockaddr*>(&address), &length);
  from = {base::Ipv4Address(ntohl(address.sin_addr.s_addr)),
          ntohs(address.sin_port)};
  return bytes;
}

}  // namespace review
