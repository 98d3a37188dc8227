// The servers of one service by data centre. Sums and samples take a time that
// depends on the number of data centres, not on the number of servers.

#ifndef LIBSTEERING_SERVICE_INDEX_H_
#define LIBSTEERING_SERVICE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibSteering/data_centre_servers.h"

namespace steering {

// Sums over the registered servers of a service.
struct ServiceTotals {
  std::size_t m_registered = 0;
  std::size_t m_registered_evacuated = 0;
  std::size_t m_ready = 0;
  std::size_t m_ready_evacuated = 0;
  // This balancer's requests in progress: at all servers, and without those at
  // unreachable servers.
  std::uint64_t m_requests = 0;
  std::uint64_t m_reachable_requests = 0;
  std::uint64_t m_slots = 0;
};

// How a sample is spread over the data centres.
struct SampleOptions {
  // Half of the sample is from this data centre.
  base::DataCentreId m_own;
  // Instead, each data centre takes part in proportion to its servers.
  bool m_is_even = false;
  bool m_includes_evacuated = false;
};

class ServiceIndex {
 public:
  using DataCentres = std::set<base::DataCentreId>;

  // The size of a sample, unless data centres with few servers add to it. The
  // best of 64 servers is among the 5% of least cost with a probability of 96%.
  static constexpr std::size_t kSampleSize = 128;
  // The least part of a sample for each data centre.
  static constexpr std::size_t kLeastOfDataCentre = 2;

  // Queries. `evacuated` are the evacuated data centres.
  ServiceTotals Totals(const DataCentres& evacuated) const;
  // Whether an opening may go to a server that is not in `own`.
  bool HasPlaceableOutside(const base::DataCentreId& own,
                           const DataCentres& evacuated) const;
  // Some of the ready servers that do not count as unreachable; none only if
  // there is none.
  std::vector<KnownServer*> Sample(const SampleOptions& options,
                                   const DataCentres& evacuated,
                                   base::Random& random) const;
  bool IsEmpty() const { return m_data_centres.empty(); }
  // Adds the number of registered servers in each data centre to `counts`.
  void AddRegistered(std::map<base::DataCentreId, std::size_t>& counts) const;

  // Commands.
  void Add(KnownServer& server);
  void Remove(KnownServer& server);

 private:
  std::map<base::DataCentreId, DataCentreServers> m_data_centres;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVICE_INDEX_H_
