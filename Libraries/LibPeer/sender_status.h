// The status of the sender in each message: a compact form of the fields of its
// member record that change.

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
  // Digest of the sender's view of the members of its data centre. Two members
  // with equal digests need not compare their views.
  std::uint32_t m_view_digest = 0;
  // Whether the sender's configuration lease is unexpired, so that the sender
  // may forward by its configuration. Only a lease holder's version may count
  // as the newest one.
  bool m_holds_lease = false;

  friend bool operator==(const SenderStatus&, const SenderStatus&) = default;
};

}  // namespace peer

#endif  // LIBPEER_SENDER_STATUS_H_
