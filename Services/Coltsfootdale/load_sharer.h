// Shares the numbers of open flows with the other balancers of the data
// centre, so that each can estimate how busy a server is between its reports.

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
  using OpenFlows =
      std::map<base::ServiceId, std::vector<placement::OpenFlowCount>>;

  static constexpr base::Duration kPurgePeriod = std::chrono::seconds(5);

  explicit LoadSharer(base::TimePoint now);

  // Queries.
  // For each service of `own`, what the other balancers have open.
  OpenFlows PeerOpenFlows(const OpenFlows& own) const;
  // The number of servers that peers told open flows of.
  std::size_t PeerServerCount() const { return m_peer_loads.ServerCount(); }

  // Commands.
  // Takes the open flows here on each server of the document in force, and
  // forgets all other servers: at once, and again from time to time, as a peer
  // with an older document may still tell of them.
  void SetOwnOpenFlows(const OpenFlows& own, base::TimePoint now);
  void Receive(base::BalancerId member, const peer::LoadDigest& digest);
  void RetainPeers(const membership::MemberSnapshot& live);
  // The digest to send to each of `recipients` members, if one is due.
  // `sent_bytes` counts all that was ever sent to peers by datagram.
  std::optional<peer::LoadDigest> NextDigest(std::size_t recipients,
                                             std::uint64_t sent_bytes,
                                             base::TimePoint now);
  // Tells that the digest was sent; `sent_bytes` as above.
  void RecordSent(std::uint64_t sent_bytes) { m_sent_bytes = sent_bytes; }

 private:
  membership::LoadPublisher m_publisher;
  membership::PeerLoadTable m_peer_loads;
  membership::ShortServerIds m_servers;
  base::TimePoint m_purged_at;
  // What was sent until the last digest was due.
  std::uint64_t m_sent_bytes = 0;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_
