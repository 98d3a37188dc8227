// Builds the burn report of this balancer from the counts of the traffic
// thread.

#ifndef SERVICES_COLTSFOOTDALE_BURN_TRACKER_H_
#define SERVICES_COLTSFOOTDALE_BURN_TRACKER_H_

#include <map>
#include <string>
#include <vector>

#include "LibBalancer/service_counts.h"
#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibConfiguration/document.h"
#include "LibObservability/burn_recorder.h"
#include "LibObservability/burn_report.h"
#include "LibObservability/burn_status.h"
#include "LibObservability/combined_burn_report.h"

namespace service {

class BurnTracker {
 public:
  explicit BurnTracker(base::TimePoint started_at) : m_started_at(started_at) {}

  using Counts = std::map<base::ServiceId, balancer::ServiceCounts>;

  // Queries.
  // The report of this balancer alone.
  observability::CombinedBurnReport OwnReport(base::TimePoint now) const;
  // Evaluates the counts of `report` against the objectives in force.
  std::vector<observability::BurnStatus> BurnStatuses(
      const observability::BurnReport& report) const;

  // Commands.
  // Sets the names and objectives of the services in force. Removes the counts
  // of services that `document` no longer has.
  void SetDocument(const configuration::Document& document);
  // Records the increase of the counts since the last call. Counts only grow. A
  // service that was absent from a call counts from zero when it is added
  // again.
  void RecordCounts(const Counts& counts, base::TimePoint now);

 private:
  base::TimePoint m_started_at;
  std::map<base::ServiceId, std::string> m_names;
  // The error budgets of the services in force, from their objectives.
  observability::ServiceErrorBudgets m_budgets;
  // The counts at the last RecordCounts.
  Counts m_recorded_counts;
  observability::BurnRecorder m_recorder;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_TRACKER_H_
