// Burn rates and alerts of a burn report. Multiwindow, multi-burn-rate
// alerting as in The Site Reliability Workbook (Beyer et al., O'Reilly 2018),
// chapter 5, table 5-8.

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

// Fires while the burn rate is at least m_burn_rate over both windows.
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

// The share of events that may be bad, for each Objective: the error budget.
// Each is greater than 0.
using ErrorBudgets = std::array<double, kObjectiveCount>;

inline constexpr ErrorBudgets kDefaultErrorBudgets{0.0001, 0.001, 0.01};

// Budgets of the services that differ from the default.
using ServiceErrorBudgets = std::map<std::string, ErrorBudgets>;

// One objective of one service.
struct BurnStatus {
  std::string m_service;
  Objective m_objective = Objective::kBrokenFlows;
  double m_error_budget = 0;
  WindowCounts m_counts;
  // How many times faster than allowed the budget is used, for each window;
  // 0 without events.
  std::array<double, kBurnWindowCount> m_burn_rates{};
  // The most severe rule that fires.
  std::optional<BurnAlertRule> m_alert;
};

// The status of all objectives, in order of service and objective.
std::vector<BurnStatus> EvaluateBurn(const BurnReport& report,
                                     const ServiceErrorBudgets& budgets);

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_STATUS_H_
