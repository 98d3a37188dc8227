// A peer of this data centre and what this balancer observed of it.

#ifndef LIBMEMBERSHIP_MEMBER_ENTRY_H_
#define LIBMEMBERSHIP_MEMBER_ENTRY_H_

#include <optional>

#include "LibBase/time.h"
#include "LibPeer/member_record.h"

namespace membership {

struct MemberEntry {
  peer::MemberRecord m_record;
  // When the record last changed.
  base::TimePoint m_changed_at;
  // When the latest message was received directly from the member.
  std::optional<base::TimePoint> m_last_message_at;
  // When the latest ping that the member acknowledged was sent.
  std::optional<base::TimePoint> m_acked_ping_sent_at;
  // Set while the member is suspected, also if only by this balancer.
  std::optional<base::TimePoint> m_suspected_since;
  base::TimePoint m_next_suspect_ping;
  // As the member reported in its latest message.
  bool m_holds_lease = true;
  // A record of the member with state kServing or kSuspected was applied.
  bool m_has_served = false;
  // The member left by plan, or a later run replaced it.
  bool m_has_left = false;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_ENTRY_H_
