#include "burn_keeper.h"

#include <algorithm>

#include "LibBase/hash.h"
#include "LibObservability/burn_report.h"

namespace service {

namespace {

// An objective of zero would allow nothing and divide by it.
constexpr double kSmallestBudget = 1e-9;
// The share of flows that may wait longer than the objective's bound.
constexpr double kSlowBudget = 0.01;

}  // namespace

std::vector<observability::BurnStatus> BurnKeeper::Statuses(
    base::TimePoint now) const {
  return observability::EvaluateBurn(m_recorder.Report(now), m_budgets);
}

void BurnKeeper::SetDocument(const configuration::Document& document) {
  m_names.clear();
  m_budgets.clear();
  for (const configuration::Service& service : document.m_services) {
    m_names.emplace(base::MakeServiceId(service.m_name), service.m_name);
    m_budgets.emplace(
        service.m_name,
        observability::ErrorBudgets{
            std::max(service.m_objective.m_broken_flows, kSmallestBudget),
            std::max(service.m_objective.m_refused_openings, kSmallestBudget),
            kSlowBudget});
  }
}

void BurnKeeper::Take(const Counts& counts, base::TimePoint now) {
  using observability::Objective;
  for (const auto& [id, current] : counts) {
    const auto name = m_names.find(id);
    if (name == m_names.end())
      continue;
    const balancer::ServiceCounts before = m_taken[id];
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
    m_taken[id] = current;
  }
}

}  // namespace service
