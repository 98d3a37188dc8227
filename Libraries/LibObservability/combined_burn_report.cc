#include "LibObservability/combined_burn_report.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace observability {

namespace {

std::string FormatDuration(base::Duration duration) {
  using std::chrono::duration_cast;
  // Shorter durations are formatted in seconds.
  constexpr std::chrono::minutes kSecondsUpTo(2);
  // Shorter durations are formatted in minutes, longer ones in hours.
  constexpr std::chrono::hours kMinutesUpTo(2);
  if (duration < kSecondsUpTo)
    return fmt::format("{} s",
                       duration_cast<std::chrono::seconds>(duration).count());
  if (duration < kMinutesUpTo)
    return fmt::format("{} min",
                       duration_cast<std::chrono::minutes>(duration).count());
  return fmt::format("{} h",
                     duration_cast<std::chrono::hours>(duration).count());
}

}  // namespace

CombinedBurnReport::CombinedBurnReport(BurnReport report,
                                       base::Duration counting_time)
    : CombinedBurnReport(std::move(report), counting_time, 1, 1, {}) {}

CombinedBurnReport::CombinedBurnReport(
    BurnReport report,
    std::optional<base::Duration> shortest_counting_time,
    std::size_t expected,
    std::size_t answered,
    std::vector<std::string> missing)
    : m_report(std::move(report)),
      m_shortest_counting_time(shortest_counting_time),
      m_expected(expected),
      m_answered(answered),
      m_missing(std::move(missing)) {}

void CombinedBurnReport::Merge(const CombinedBurnReport& other,
                               const std::string& data_centre) {
  m_report.Merge(other.m_report);
  m_expected += other.m_expected;
  m_answered += other.m_answered;
  if (other.m_shortest_counting_time)
    m_shortest_counting_time =
        std::min(m_shortest_counting_time.value_or(base::Duration::max()),
                 *other.m_shortest_counting_time);
  for (const std::string& name : other.m_missing)
    AddMissingName(
        data_centre.empty() ? name : fmt::format("{}/{}", data_centre, name));
  for (const std::string& name : other.m_missing_data_centres)
    AddMissingDataCentre(name);
}

void CombinedBurnReport::AddMissingBalancer(const std::string& balancer) {
  ++m_expected;
  AddMissingName(balancer);
}

void CombinedBurnReport::AddMissingDataCentre(const std::string& data_centre) {
  m_missing_data_centres.push_back(data_centre);
}

void CombinedBurnReport::AddMissingName(const std::string& name) {
  if (m_missing.size() < kMaximumMissingNames)
    m_missing.push_back(name);
}

std::string RenderCoverage(const CombinedBurnReport& burn) {
  std::string line = fmt::format("Counts of {} of {} balancers",
                                 burn.answered(), burn.expected());
  if (!burn.missing().empty())
    line += fmt::format(", missing: {}", fmt::join(burn.missing(), ", "));
  const std::size_t absent = burn.expected() - burn.answered();
  if (absent > burn.missing().size())
    line += fmt::format(" and {} more", absent - burn.missing().size());
  if (!burn.missing_data_centres().empty())
    line += fmt::format("; no answer from data centres: {}",
                        fmt::join(burn.missing_data_centres(), ", "));
  if (burn.shortest_counting_time())
    line += fmt::format("; the balancer started last has counted for {}",
                        FormatDuration(*burn.shortest_counting_time()));
  return line + ".";
}

}  // namespace observability
