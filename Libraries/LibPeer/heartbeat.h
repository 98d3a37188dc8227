// A message without content of its own: the receiver uses only the sender
// status and the updates of the message, and sends no reply.

#ifndef LIBPEER_HEARTBEAT_H_
#define LIBPEER_HEARTBEAT_H_

namespace peer {

struct Heartbeat {
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace peer

#endif  // LIBPEER_HEARTBEAT_H_
