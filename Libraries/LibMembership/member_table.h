// The peers of the own data centre, dead ones included for a while, under the
// precedence rules of SWIM (Das, Gupta and Motivala, DSN 2002, section 4.2).

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
  static constexpr std::size_t kMaximumEntries = 8'192;

  // Queries.
  const std::map<base::BalancerId, MemberEntry>& Entries() const {
    return m_entries;
  }
  // Nothing if the id is not known.
  const MemberEntry* Find(base::BalancerId id) const;
  // The member at a peer endpoint that is not dead, or nothing.
  const MemberEntry* FindAt(base::Endpoint peer) const;
  // The members that are not dead, in no order.
  const std::vector<base::BalancerId>& Reachable() const { return m_reachable; }
  const std::set<base::BalancerId>& Suspects() const { return m_suspects; }
  // Digest of ids, states and incarnations of the members that are not dead.
  // It does not depend on their order.
  std::uint32_t Digest() const { return m_digest; }
  static std::uint32_t DigestOf(const peer::MemberRecord& record);

  // Commands.
  // Takes the record in if it takes precedence over what is known: a greater
  // incarnation does, and at the same one suspected goes before a state of the
  // member's own and dead before suspected.
  RecordChange Apply(const peer::MemberRecord& record, base::TimePoint now);
  // Takes in that a message came straight from the member.
  void RecordMessage(const peer::SenderStatus& sender, base::TimePoint now);
  // Takes in that the member answered a ping that was sent at `sent_at`.
  void RecordAck(base::BalancerId id, base::TimePoint sent_at);
  // Suspects the member here without a change of its record.
  void SuspectLocally(base::BalancerId id, base::TimePoint now);
  void SetNextSuspectPing(base::BalancerId id, base::TimePoint when);
  // Gives every suspected member its whole time to refute anew.
  void RestartSuspicions(base::TimePoint now);
  void MarkLeft(base::BalancerId id);
  // Forgets a dead member.
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
