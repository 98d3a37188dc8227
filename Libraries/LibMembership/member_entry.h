// A peer of the own data centre with what was observed of it here.

#ifndef LIBMEMBERSHIP_MEMBER_ENTRY_H_
#define LIBMEMBERSHIP_MEMBER_ENTRY_H_

#include <optional>

#include "LibBase/time.h"
#include "LibPeer/member_record.h"

namespace membership {

struct MemberEntry {
  peer::MemberRecord m_record;
  base::TimePoint m_changed_at;
  // When a message came straight from it.
  std::optional<base::TimePoint> m_last_message_at;
  // When the latest ping was sent that it has answered.
  std::optional<base::TimePoint> m_acked_ping_sent_at;
  // Set while it is suspected, also by this balancer alone.
  std::optional<base::TimePoint> m_suspected_since;
  base::TimePoint m_next_suspect_ping;
  // As its latest message told.
  bool m_holds_lease = true;
  bool m_has_served = false;
  // It left by plan or another run replaced it.
  bool m_has_left = false;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_ENTRY_H_
