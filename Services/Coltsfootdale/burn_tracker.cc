#include "burn_tracker.h"

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"

namespace service {

namespace {

// An objective of zero allows no failures. Its budget must still be above zero,
// because the burn rate divides by the budget.
constexpr double kMinimumErrorBudget = 1e-9;
// The share of flows that may wait longer than the objective's bound.
constexpr double kSlowOpeningBudget = 0.01;

}  // namespace

observability::CombinedBurnReport BurnTracker::OwnReport(
    base::TimePoint now) const {
  return {m_recorder.Report(now), now - m_started_at};
}

std::vector<observability::BurnStatus> BurnTracker::BurnStatuses(
    const observability::BurnReport& report) const {
  return observability::EvaluateBurn(report, m_budgets);
}

void BurnTracker::SetDocument(const configuration::Document& document) {
  for (const auto& [id, name] : std::exchange(m_names, {})) {
    const bool is_kept = std::ranges::find(document.m_services, name,
                                           &configuration::Service::m_name) !=
                         document.m_services.end();
    if (!is_kept)
      m_recorder.Remove(name);
  }
  m_budgets.clear();
  for (const configuration::Service& service : document.m_services) {
    m_names.emplace(base::MakeServiceId(service.m_name), service.m_name);
    m_budgets.emplace(
        service.m_name,
        observability::ErrorBudgets{
            std::max(service.m_objective.m_broken_flows, kMinimumErrorBudget),
            std::max(service.m_objective.m_refused_openings,
                     kMinimumErrorBudget),
            kSlowOpeningBudget});
  }
}

void BurnTracker::RecordCounts(const Counts& counts, base::TimePoint now) {
  using observability::Objective;
  std::erase_if(m_recorded_counts, [&counts](const auto& recorded) {
    return !counts.contains(recorded.first);
  });
  for (const auto& [id, current] : counts) {
    const auto name = m_names.find(id);
    if (name == m_names.end())
      continue;
    const balancer::ServiceCounts before = m_recorded_counts[id];
    m_recorder.Record(name->second, Objective::kBrokenFlows,
                      {current.m_broken - before.m_broken,
                       current.m_openings - before.m_openings},
                      now);
    m_recorder.Record(name->second, Objective::kRefusedOpenings,
                      {current.m_refused - before.m_refused,
                       current.m_openings - before.m_openings},
                      now);
    m_recorder.Record(name->second, Objective::kSlowOpenings,
                      {current.m_slow - before.m_slow,
                       current.m_answered - before.m_answered},
                      now);
    m_recorded_counts[id] = current;
  }
}

}  // namespace service
