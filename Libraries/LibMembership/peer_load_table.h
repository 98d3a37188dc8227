// The number of flows that the other live members have open on each backend
// server, as reported in their load digests.

#ifndef LIBMEMBERSHIP_PEER_LOAD_TABLE_H_
#define LIBMEMBERSHIP_PEER_LOAD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "LibBase/ids.h"
#include "LibMembership/short_server_id.h"
#include "LibPeer/load_digest.h"

namespace membership {

class MemberSnapshot;

class PeerLoadTable {
 public:
  // Servers and members over these bounds are not counted.
  static constexpr std::size_t kMaximumServersPerMember = 16'384;
  static constexpr std::size_t kMaximumMembers = 2'048;

  // Queries.
  // Returns the sum of the latest counts that the other members reported.
  std::uint64_t OpenFlowsOfPeers(base::BackendServerId server) const;

  // The number of servers with open flows at any other member.
  std::size_t ServerCount() const { return m_totals.size(); }

  // Commands.
  // Applies the digest of a member. Servers that the digest leaves out keep
  // their counts.
  void Receive(base::BalancerId member, const peer::LoadDigest& digest);
  // Removes all counts of a removed member.
  void RemoveMember(base::BalancerId member);
  // Removes all counts of each member that is not in `live`.
  void Retain(const MemberSnapshot& live);
  // Removes the counts of all servers that are not in `servers`.
  void RetainServers(const ShortServerIds& servers);

 private:
  using Counts = std::unordered_map<std::uint32_t, std::uint16_t>;

  void Subtract(const Counts& counts);

  std::map<base::BalancerId, Counts> m_members;
  std::unordered_map<std::uint32_t, std::uint64_t> m_totals;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PEER_LOAD_TABLE_H_
