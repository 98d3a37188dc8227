// What every message says about its sender: the part of its member record
// that changes, in few bytes.

#ifndef LIBPEER_SENDER_STATUS_H_
#define LIBPEER_SENDER_STATUS_H_

#include <cstdint>

#include "LibBase/ids.h"
#include "LibPeer/configuration_status.h"
#include "LibPeer/member_state.h"

namespace peer {

struct SenderStatus {
  base::BalancerId m_id;
  MemberState m_state = MemberState::kJoining;
  std::uint64_t m_incarnation = 0;
  ConfigurationStatus m_configuration;
  // Digest of the sender's view of its data centre's members. Two members with
  // the same digest need not compare their views.
  std::uint32_t m_view_digest = 0;
  // Whether the sender may forward by its configuration now: its lease has not
  // expired. Only such a sender's version may stand for the newest one.
  bool m_holds_lease = false;

  friend bool operator==(const SenderStatus&, const SenderStatus&) = default;
};

}  // namespace peer

#endif  // LIBPEER_SENDER_STATUS_H_
