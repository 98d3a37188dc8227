// Creates the sockets of the stand-ins. All addresses are loopback addresses.

#ifndef REVIEW_HARNESS_SOCKETS_H_
#define REVIEW_HARNESS_SOCKETS_H_

#include <netinet/in.h>

#include <cstdint>
#include <span>

#include "../../Libraries/LibBase/ipv4.h"

namespace review {

// These throw if the socket can't be bound, and return its descriptor.
int BindDatagramSocket(base::Endpoint endpoint);
int ListenOn(base::Endpoint endpoint);
// Starts to connect without waiting. Returns -1 if that fails at once.
int StartConnecting(base::Endpoint endpoint);
// Returns -1 if no connection waits.
int AcceptConnection(int listener);
// A datagram that can't be sent is lost.
void SendDatagram(int socket,
                  base::Endpoint to,
                  std::span<const std::uint8_t> bytes);
// Returns the number of bytes, or -1 if no datagram waits.
std::int64_t ReceiveDatagram(int socket,
                             std::span<std::uint8_t> buffer,
                             base::Endpoint& from);

}  // namespace review

#endif  // REVIEW_HARNESS_SOCKETS_H_
