// One balancer's part in the load exchange: what it sends with the requests and
// responses of the feed, and what it makes of those that it receives.
//
// A balancer sends its report to the readers that it polls. The reader of its
// data centre sums the reports and returns the newest sums of all data centres.
// A reader announces itself to the seeds with the sums of its data centre, and
// learns those of the others from the seeds' responses.

#ifndef LIBLOADEXCHANGE_LOAD_EXCHANGE_H_
#define LIBLOADEXCHANGE_LOAD_EXCHANGE_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibLoadExchange/fleet_load.h"
#include "LibLoadExchange/load_aggregator.h"

namespace load_exchange {

enum class LoadResult {
  kAccepted,
  // Newer load of the same balancer or reader is known, or this one already.
  kOutdated,
  // The load is not for this balancer to count.
  kNotCounted,
  // A request contains sums that another balancer computed, or too many
  // balancers report.
  kRefused,
  kMalformed,
};

inline constexpr base::EnumTable<LoadResult, 5> kLoadResultNames{{
    {LoadResult::kAccepted, "accepted"},
    {LoadResult::kOutdated, "outdated"},
    {LoadResult::kNotCounted, "not_counted"},
    {LoadResult::kRefused, "refused"},
    {LoadResult::kMalformed, "malformed"},
}};

class LoadExchange {
 public:
  // A reader computes the sums at most this often. It answers up to 1,500
  // requests per second, and a sum over 900 reports takes about a millisecond.
  static constexpr base::Duration kSumInterval = std::chrono::milliseconds(200);

  LoadExchange(base::Ipv4Address self, const base::DataCentreId& data_centre)
      : m_self(self), m_aggregator(KeyOf(data_centre.value())) {}

  // Queries.
  const FleetLoad& fleet() const { return m_fleet; }

  // Commands. `own` is this balancer's report.
  // Keeps the sums of a reader that nobody asks up to date.
  void Sweep(const LoadReport& own, bool is_reader, base::TimePoint now) {
    if (is_reader)
      UpdateOwnSums(own, now);
  }
  // The load for a request to a peer.
  std::string MakeRequestLoad(const LoadReport& own,
                              bool is_reader,
                              base::TimePoint now);
  // The load for a response to a peer.
  std::string MakeResponseLoad(const LoadReport& own,
                               bool is_reader,
                               base::TimePoint now);
  // Records the load of a request from `source`.
  LoadResult AcceptRequestLoad(base::Ipv4Address source,
                               std::string_view bytes,
                               bool is_reader,
                               base::TimePoint now);
  // Records the load of a response.
  LoadResult AcceptResponseLoad(std::string_view bytes, base::TimePoint now);

 private:
  LoadResult RecordSums(const LoadSums& sums, base::TimePoint now);
  // Sums the reports of the data centre, this balancer's included.
  void UpdateOwnSums(const LoadReport& own, base::TimePoint now);

  base::Ipv4Address m_self;
  LoadAggregator m_aggregator;
  FleetLoad m_fleet;
  std::optional<base::TimePoint> m_own_sums_at;
};

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_LOAD_EXCHANGE_H_
