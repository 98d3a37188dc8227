// Whom to ask in other data centres. Their members are not tracked: a few
// members of each data centre exchange their configuration status with any
// one balancer of each other data centre, so that the rate does not grow with
// the number of balancers.

#ifndef LIBMEMBERSHIP_REMOTE_PEERS_H_
#define LIBMEMBERSHIP_REMOTE_PEERS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/random.h"
#include "LibPeer/member_record.h"

namespace membership {

struct VmEntry;

class RemotePeers {
 public:
  static constexpr std::size_t kMaximumDataCentres = 64;
  static constexpr std::size_t kMaximumEndpointsPerDataCentre = 64;
  static constexpr std::size_t kMaximumKnownIds = 1'024;

  // Queries.
  std::vector<base::DataCentreId> DataCentres() const;
  // A random endpoint of the data centre, or nothing.
  std::optional<base::Endpoint> PickEndpoint(
      const base::DataCentreId& data_centre,
      base::Random& random) const;
  // Whether a record of this balancer was learned.
  bool Contains(base::BalancerId id) const { return m_known_ids.contains(id); }
  // Whether the balancer at this endpoint has told its record.
  bool HasRecordFrom(base::Endpoint endpoint) const {
    return m_recorded_endpoints.contains(endpoint);
  }

  // Commands.
  // Replaces all endpoints by those of the list's live VMs outside `own`.
  void Replace(const std::vector<VmEntry>& list, const base::DataCentreId& own);
  // Learns a balancer of another data centre that told its record.
  void AddPeer(const peer::MemberRecord& record);

 private:
  void AddEndpoint(const base::DataCentreId& data_centre,
                   base::Endpoint endpoint);

  std::map<base::DataCentreId, std::vector<base::Endpoint>> m_endpoints;
  std::set<base::BalancerId> m_known_ids;
  std::set<base::Endpoint> m_recorded_endpoints;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_REMOTE_PEERS_H_
