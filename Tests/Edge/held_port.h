// A port that another program holds.

#ifndef TESTS_EDGE_HELD_PORT_H_
#define TESTS_EDGE_HELD_PORT_H_

#include <cstdint>
#include <string>

class HeldPort {
 public:
  enum class Protocol { kUdp, kTcp };

  // Throws std::system_error if the port cannot be bound.
  HeldPort(Protocol protocol, const std::string& address, std::uint16_t port);
  ~HeldPort();
  HeldPort(const HeldPort&) = delete;
  HeldPort& operator=(const HeldPort&) = delete;

 private:
  int m_socket;
};

#endif  // TESTS_EDGE_HELD_PORT_H_
