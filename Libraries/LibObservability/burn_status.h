// Computes burn rates and alerts from a burn report: multiwindow,
// multi-burn-rate alerting as in The Site Reliability Workbook (Beyer et al.,
// O'Reilly 2018), chapter 5, table 5-8.

#ifndef LIBOBSERVABILITY_BURN_STATUS_H_
#define LIBOBSERVABILITY_BURN_STATUS_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibObservability/burn_report.h"
#include "LibObservability/burn_window.h"

namespace observability {

enum class AlertSeverity { kPage, kTicket };

inline constexpr base::EnumTable<AlertSeverity, 2> kAlertSeverityNames{{
    {AlertSeverity::kPage, "page"},
    {AlertSeverity::kTicket, "ticket"},
}};

// An alert rule. It fires while the burn rate is at least m_burn_rate over both
// windows.
struct BurnAlertRule {
  double m_burn_rate = 0;
  BurnWindow m_long_window = BurnWindow::kOneHour;
  BurnWindow m_short_window = BurnWindow::kFiveMinutes;
  AlertSeverity m_severity = AlertSeverity::kPage;
};

// Most severe first.
inline constexpr std::array<BurnAlertRule, 3> kBurnAlertRules{{
    {14.4, BurnWindow::kOneHour, BurnWindow::kFiveMinutes,
     AlertSeverity::kPage},
    {6, BurnWindow::kSixHours, BurnWindow::kThirtyMinutes,
     AlertSeverity::kPage},
    {1, BurnWindow::kThreeDays, BurnWindow::kSixHours, AlertSeverity::kTicket},
}};

// The error budget of each Objective: the share of events that may be bad. Each
// budget is greater than 0.
using ErrorBudgets = std::array<double, kObjectiveCount>;

// The budgets of a service without budgets of its own, in the order of
// Objective.
inline constexpr ErrorBudgets kDefaultErrorBudgets{0.0001, 0.001, 0.01};

// The budgets, by service name, of services whose budgets differ from
// kDefaultErrorBudgets.
using ServiceErrorBudgets = std::map<std::string, ErrorBudgets>;

// The burn rates and the alert of one objective of one service.
struct BurnStatus {
  std::string m_service;
  Objective m_objective = Objective::kBrokenFlows;
  double m_error_budget = 0;
  WindowCounts m_counts;
  // For each window, how many times faster than allowed the error budget is
  // used; 0 if there were no events.
  std::array<double, kBurnWindowCount> m_burn_rates{};
  // The most severe rule that fires, if any.
  std::optional<BurnAlertRule> m_alert;
};

// Returns the status of all objectives, ordered by service and objective.
std::vector<BurnStatus> EvaluateBurn(const BurnReport& report,
                                     const ServiceErrorBudgets& budgets);

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_STATUS_H_
