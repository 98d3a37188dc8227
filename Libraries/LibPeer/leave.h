// Announces that the sender leaves by plan. Its status has state kLeaving.

#ifndef LIBPEER_LEAVE_H_
#define LIBPEER_LEAVE_H_

namespace peer {

struct Leave {
  friend bool operator==(const Leave&, const Leave&) = default;
};

}  // namespace peer

#endif  // LIBPEER_LEAVE_H_
