// Exchanges the numbers of open flows with the other balancers of the data
// centre. Each balancer estimates from them how busy a server is between the
// server's load reports.

#ifndef SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_
#define SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibMembership/load_publisher.h"
#include "LibMembership/peer_load_table.h"
#include "LibMembership/short_server_id.h"
#include "LibPeer/load_digest.h"
#include "LibPlacement/load_event.h"

namespace service {

class LoadSharer {
 public:
  // The number of open flows on each backend server of each service.
  using OpenFlows =
      std::map<base::ServiceId, std::vector<placement::OpenFlowCount>>;

  static constexpr base::Duration kPurgePeriod = std::chrono::seconds(5);

  explicit LoadSharer(base::TimePoint now);

  // Queries.
  // Returns the open flows of the other balancers on each server in `own`.
  OpenFlows PeerOpenFlows(const OpenFlows& own) const;
  // The number of servers on which peers have reported open flows.
  std::size_t PeerServerCount() const { return m_peer_loads.ServerCount(); }

  // Commands.
  // Sets this balancer's open flows on each server of the document in force.
  // Removes all other servers when the set of servers changes and every
  // kPurgePeriod, because a peer with an older document may still report them.
  void SetOwnOpenFlows(const OpenFlows& own, base::TimePoint now);
  // Records the open flows that the peer `member` reports.
  void Receive(base::BalancerId member, const peer::LoadDigest& digest);
  // Removes the reports of all peers that are not in `live`.
  void RetainPeers(const membership::MemberSnapshot& live);
  // Returns the digest to send to each of `recipients` members, if one is due.
  // `sent_bytes` is the total number of bytes sent to peers by datagram.
  std::optional<peer::LoadDigest> NextDigest(std::size_t recipients,
                                             std::uint64_t sent_bytes,
                                             base::TimePoint now);
  // Records that the digest was sent. `sent_bytes` is the new total, which
  // includes the digest.
  void RecordSent(std::uint64_t sent_bytes) { m_sent_bytes = sent_bytes; }

 private:
  membership::LoadPublisher m_publisher;
  membership::PeerLoadTable m_peer_loads;
  // The servers of the document in force.
  membership::ShortServerIds m_servers;
  base::TimePoint m_purged_at;
  // The total number of bytes sent at the last call of NextDigest or
  // RecordSent.
  std::uint64_t m_sent_bytes = 0;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_
