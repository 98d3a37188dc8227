// The peers of this data centre, updated by the precedence rules of SWIM (Das,
// Gupta and Motivala, DSN 2002, section 4.2). Dead peers stay in the table for
// a while.

#ifndef LIBMEMBERSHIP_MEMBER_TABLE_H_
#define LIBMEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibMembership/member_entry.h"
#include "LibMembership/record_change.h"

namespace peer {
struct SenderStatus;
}  // namespace peer

namespace membership {

class MemberTable {
 public:
  // Records of further members are ignored.
  static constexpr std::size_t kMaximumEntries = 8'192;

  // Queries.
  const std::map<base::BalancerId, MemberEntry>& Entries() const {
    return m_entries;
  }
  // Returns nullptr if the id is unknown.
  const MemberEntry* Find(base::BalancerId id) const;
  // Returns the member with this peer endpoint, or nullptr. Dead members are
  // ignored.
  const MemberEntry* FindAt(base::Endpoint peer) const;
  // The members that are not dead, in no particular order.
  const std::vector<base::BalancerId>& Reachable() const { return m_reachable; }
  const std::set<base::BalancerId>& Suspects() const { return m_suspects; }
  // Digest of the ids, states and incarnations of the members that are not
  // dead. The digest does not depend on the order of the members.
  std::uint32_t Digest() const { return m_digest; }
  static std::uint32_t DigestOf(const peer::MemberRecord& record);

  // Commands.
  // Stores the record if it takes precedence over the known record of the
  // member. A greater incarnation takes precedence. At equal incarnations,
  // "suspected" takes precedence over a state that the member declared, and
  // "dead" over "suspected".
  RecordChange Apply(const peer::MemberRecord& record, base::TimePoint now);
  // Records a message that was received directly from the member.
  void RecordMessage(const peer::SenderStatus& sender, base::TimePoint now);
  // Records that the member acknowledged a ping that was sent at `sent_at`.
  void RecordAck(base::BalancerId id, base::TimePoint sent_at);
  // Marks the member as suspected by this balancer without changing the
  // member's record.
  void SuspectLocally(base::BalancerId id, base::TimePoint now);
  // Sets when the suspected member is to be pinged next.
  void SetNextSuspectPing(base::BalancerId id, base::TimePoint when);
  // Restarts the suspicion timeout of every suspected member.
  void RestartSuspicions(base::TimePoint now);
  // Marks the member as having left, so that it is not expected to run.
  void MarkLeft(base::BalancerId id);
  // Removes the member if it is dead.
  void Remove(base::BalancerId id);

 private:
  void Index(const MemberEntry& entry);
  void Unindex(const MemberEntry& entry);
  void SetSuspicion(MemberEntry& entry, base::TimePoint now);

  std::map<base::BalancerId, MemberEntry> m_entries;
  std::unordered_map<base::Endpoint, base::BalancerId> m_by_endpoint;
  std::vector<base::BalancerId> m_reachable;
  std::set<base::BalancerId> m_suspects;
  std::uint32_t m_digest = 0;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_TABLE_H_
