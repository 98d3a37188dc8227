#include "LibObservability/combined_burn.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace observability {

namespace {

std::string FormatDuration(base::Duration duration) {
  using std::chrono::duration_cast;
  constexpr std::chrono::minutes kSecondsUpTo(2);
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

CombinedBurn::CombinedBurn(BurnReport report, base::Duration counting_for)
    : CombinedBurn(std::move(report), counting_for, 1, 1, {}) {}

CombinedBurn::CombinedBurn(BurnReport report,
                           std::optional<base::Duration> shortest_count,
                           std::size_t expected,
                           std::size_t answered,
                           std::vector<std::string> missing)
    : m_report(std::move(report)),
      m_shortest_counting_time(shortest_count),
      m_expected(expected),
      m_answered(answered),
      m_missing(std::move(missing)) {}

void CombinedBurn::Merge(const CombinedBurn& other,
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

void CombinedBurn::AddMissing(const std::string& balancer) {
  ++m_expected;
  AddMissingName(balancer);
}

void CombinedBurn::AddMissingDataCentre(const std::string& data_centre) {
  m_missing_data_centres.push_back(data_centre);
}

void CombinedBurn::AddMissingName(const std::string& name) {
  if (m_missing.size() < kMaximumMissing)
    m_missing.push_back(name);
}

std::string RenderCoverage(const CombinedBurn& burn) {
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
  if (burn.shortest_count())
    line += fmt::format("; the one started last has counted for {}",
                        FormatDuration(*burn.shortest_count()));
  return line + ".";
}

}  // namespace observability
