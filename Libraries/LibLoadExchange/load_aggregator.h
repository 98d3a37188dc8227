// Sums the newest load reports of the balancers of one data centre, for its
// reader.

#ifndef LIBLOADEXCHANGE_LOAD_AGGREGATOR_H_
#define LIBLOADEXCHANGE_LOAD_AGGREGATOR_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibLoadExchange/data_centre_load.h"
#include "LibLoadExchange/load_report.h"

namespace load_exchange {

enum class ReportResult {
  kAccepted,
  // The balancer has sent a newer report, or this one already.
  kOutdated,
  // The balancer is counted by a reader of its own data centre.
  kOtherDataCentre,
  // The aggregator has reports of kMaximumBalancers balancers.
  kTooMany,
};

inline constexpr base::EnumTable<ReportResult, 4> kReportResultNames{{
    {ReportResult::kAccepted, "accepted"},
    {ReportResult::kOutdated, "outdated"},
    {ReportResult::kOtherDataCentre, "other_data_centre"},
    {ReportResult::kTooMany, "too_many"},
}};

class LoadAggregator {
 public:
  // `data_centre` is the key of this balancer's data centre.
  explicit LoadAggregator(std::uint32_t data_centre)
      : m_data_centre(data_centre) {}

  // Queries.
  // The sums of the reports that have not expired, without reader and sequence.
  DataCentreLoad Sum(base::TimePoint now) const;
  // Whether a report of the balancer at `address` counts.
  bool Counts(base::Ipv4Address address, base::TimePoint now) const;
  std::size_t size() const { return m_reports.size(); }

  // Commands.
  // Records a report of the balancer at `address`. Its numbers are bounded.
  ReportResult Accept(base::Ipv4Address address,
                      LoadReport report,
                      base::TimePoint now);
  void RemoveExpired(base::TimePoint now);

 private:
  struct Entry {
    LoadReport m_report;
    base::TimePoint m_received_at;
  };

  std::uint32_t m_data_centre;
  // By address.
  std::unordered_map<std::uint32_t, Entry> m_reports;
};

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_LOAD_AGGREGATOR_H_
