// Balancers of other data centres that this balancer may contact. Members of
// other data centres are not tracked. Instead, a few members of each data
// centre exchange configuration status with one balancer of each other data
// centre, so that the message rate does not grow with the number of balancers.

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
  // Returns a random endpoint of the data centre, or nullopt if none is known.
  std::optional<base::Endpoint> PickEndpoint(
      const base::DataCentreId& data_centre,
      base::Random& random) const;
  // Whether a record of this balancer was received.
  bool Contains(base::BalancerId id) const { return m_known_ids.contains(id); }
  // Whether a record with this endpoint was received.
  bool HasRecordFor(base::Endpoint endpoint) const {
    return m_recorded_endpoints.contains(endpoint);
  }

  // Commands.
  // Replaces all endpoints with those of the live VMs in `list` that are
  // outside the data centre `own`.
  void Replace(const std::vector<VmEntry>& list, const base::DataCentreId& own);
  // Adds a balancer of another data centre from its record.
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
