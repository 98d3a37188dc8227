#include "LibObservability/burn_status.h"

namespace observability {

namespace {

double BurnRate(const EventCounts& counts, double error_budget) {
  if (counts.m_total == 0)
    return 0;
  const double bad_share =
      static_cast<double>(counts.m_bad) / static_cast<double>(counts.m_total);
  return bad_share / error_budget;
}

bool Fires(const BurnAlertRule& rule, const BurnStatus& status) {
  const auto rate = [&](BurnWindow window) {
    return status.m_burn_rates[static_cast<std::size_t>(window)];
  };
  return rate(rule.m_long_window) >= rule.m_burn_rate &&
         rate(rule.m_short_window) >= rule.m_burn_rate;
}

BurnStatus MakeStatus(const std::string& service,
                      Objective objective,
                      const WindowCounts& counts,
                      double error_budget) {
  BurnStatus status{service, objective, error_budget, counts, {}, {}};
  for (std::size_t window = 0; window < kBurnWindowCount; ++window)
    status.m_burn_rates[window] = BurnRate(counts[window], error_budget);
  for (const BurnAlertRule& rule : kBurnAlertRules) {
    if (!status.m_alert && Fires(rule, status))
      status.m_alert = rule;
  }
  return status;
}

}  // namespace

std::vector<BurnStatus> EvaluateBurn(const BurnReport& report,
                                     const ServiceErrorBudgets& budgets) {
  std::vector<BurnStatus> statuses;
  for (const auto& [service, counts] : report.services()) {
    const auto found = budgets.find(service);
    const ErrorBudgets& service_budgets =
        found == budgets.end() ? kDefaultErrorBudgets : found->second;
    for (const auto& objective : kObjectiveNames) {
      const auto index = static_cast<std::size_t>(objective.m_value);
      statuses.push_back(MakeStatus(service, objective.m_value, counts[index],
                                    service_budgets[index]));
    }
  }
  return statuses;
}

}  // namespace observability
