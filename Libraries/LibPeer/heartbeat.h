// Tells the sender's status and the updates of the message. It is not answered.

#ifndef LIBPEER_HEARTBEAT_H_
#define LIBPEER_HEARTBEAT_H_

namespace peer {

struct Heartbeat {
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace peer

#endif  // LIBPEER_HEARTBEAT_H_
