// The newest sums of every data centre, as one balancer knows them.

#ifndef LIBLOADEXCHANGE_FLEET_LOAD_H_
#define LIBLOADEXCHANGE_FLEET_LOAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibLoadExchange/data_centre_load.h"
#include "LibLoadExchange/load_codec.h"

namespace load_exchange {

class FleetLoad {
 public:
  // How long the largest number of balancers is remembered.
  static constexpr base::Duration kLargestFor = std::chrono::minutes(1);
  // After its start, a reader has the reports of few balancers at first, and
  // the sums of other data centres arrive later. The number of balancers is not
  // used before this time.
  static constexpr base::Duration kSettlingTime = std::chrono::seconds(4);
  // Among the readers of a data centre that are no older than this, the one
  // with the most reports counts.
  static constexpr base::Duration kFreshFor = std::chrono::milliseconds(2500);
  static constexpr std::size_t kMaximumReadersPerDataCentre = 4;

  // Queries.
  // The balancers that have reported of late; nothing if no sums are known.
  std::optional<std::uint32_t> LiveBalancers(base::TimePoint now) const;
  // The largest number of live balancers in the last minute; nothing if none is
  // known, or the first sums came within kSettlingTime.
  std::optional<std::uint32_t> LargestBalancers(base::TimePoint now) const;
  // The requests in progress and the openings per second of the balancers of a
  // data centre for a service.
  ServiceLoad LoadOf(std::string_view data_centre,
                     std::string_view service,
                     base::TimePoint now) const;
  // The sums of the evidence about each server in all data centres.
  std::vector<ServerEvidence> Evidence(base::TimePoint now) const;
  // The share of requests that a server with this evidence leaves unanswered.
  // The largest count that one balancer reported is left out. Several balancers
  // must have lost requests at a server before the others avoid it, so one
  // false or badly connected balancer cannot condemn a server.
  static double UnansweredShare(const ServerEvidence& evidence);
  // The share of the server with the flow token `token`; zero if no evidence is
  // known.
  double UnansweredShare(std::uint32_t token, base::TimePoint now) const;
  // The sums to pass on, with their ages: those that count for each data
  // centre, and those of its other readers if they are fresh.
  LoadSums Sums(base::TimePoint now) const;
  // The readers of a data centre whose sums are fresh.
  std::vector<base::Ipv4Address> ReadersOf(std::uint32_t data_centre,
                                           base::TimePoint now) const;

  // Commands.
  // Records sums unless newer ones of the same reader are known. Their numbers
  // are bounded. Returns whether they were used.
  bool Record(DataCentreLoad load, base::TimePoint now);

 private:
  struct Entry {
    DataCentreLoad m_load;
    base::TimePoint m_computed_at;
  };

  // The entry that counts for each data centre.
  std::vector<const Entry*> CountingEntries(base::TimePoint now) const;
  void RecordLargest(base::TimePoint now);

  // At most kMaximumDataCentres data centres.
  std::vector<Entry> m_entries;
  // When a number of balancers was seen, with decreasing numbers; the first is
  // the largest of the last minute.
  std::deque<std::pair<base::TimePoint, std::uint32_t>> m_largest;
  std::optional<base::TimePoint> m_first_sums_at;
};

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_FLEET_LOAD_H_
