// What the other live members have open on each backend server, as their load
// digests told it.

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
  // The sum over the other members' latest counts.
  std::uint64_t OpenFlowsOfPeers(base::BackendServerId server) const;

  // The number of servers of which a member told open flows.
  std::size_t ServerCount() const { return m_totals.size(); }

  // Commands.
  // Takes in the counts of a member; servers that are left out keep theirs.
  void Receive(base::BalancerId member, const peer::LoadDigest& digest);
  // Drops the share of a member that is gone.
  void RemoveMember(base::BalancerId member);
  // Drops the share of each member that is not among the live ones.
  void Retain(const MemberSnapshot& live);
  // Forgets the servers that are not among these.
  void RetainServers(const ShortServerIds& servers);

 private:
  using Counts = std::unordered_map<std::uint32_t, std::uint16_t>;

  void Subtract(const Counts& counts);

  std::map<base::BalancerId, Counts> m_members;
  std::unordered_map<std::uint32_t, std::uint64_t> m_totals;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PEER_LOAD_TABLE_H_
