// Decides which openings of one service are admitted. Never affects a flow
// after its opening was admitted.

#ifndef LIBADMISSION_ADMISSION_CONTROLLER_H_
#define LIBADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>

#include "LibAdmission/admission_decision.h"
#include "LibAdmission/concurrency_limit.h"
#include "LibAdmission/retry_budget.h"
#include "LibBase/enum_table.h"
#include "LibBase/time.h"

namespace admission {

enum class ConcurrencyControl {
  kOff,
  kAdaptive,
};

inline constexpr base::EnumTable<ConcurrencyControl, 2>
    kConcurrencyControlNames{{
        {ConcurrencyControl::kOff, "off"},
        {ConcurrencyControl::kAdaptive, "adaptive"},
    }};

struct AdmissionSettings {
  // Maximum connections to the whole service in this data centre; zero means no
  // limit.
  std::uint64_t m_service_connection_limit = 0;
  ConcurrencyControl m_concurrency_control = ConcurrencyControl::kAdaptive;
  ConcurrencySettings m_concurrency_limit;
  RetryBudgetSettings m_retry_budget;
};

// The balancer's estimate of the current load on the service.
struct ServiceOccupancy {
  // Requests running and queued on all servers that are not draining.
  double m_requests = 0.0;
  double m_slots = 0.0;
  double m_connections = 0.0;
};

// Connections of the server chosen for an opening.
struct ServerOccupancy {
  double m_connections = 0.0;
  // Zero means no limit.
  std::uint64_t m_connection_limit = 0;
};

class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionSettings& settings);

  // Queries.
  // Decides whether the service's limits admit an opening.
  AdmissionDecision DecideForService(const ServiceOccupancy& service) const;
  // Decides whether the chosen server's limit admits an opening.
  AdmissionDecision DecideForServer(const ServerOccupancy& server) const;
  const RetryBudget& retry_budget() const { return m_retry_budget; }
  const ConcurrencyLimit& concurrency_limit() const {
    return m_concurrency_limit;
  }

  // Commands.
  // Applies the settings to the next opening. Keeps the learned concurrency
  // limit and the retry budget's tokens as far as the new settings allow.
  void SetSettings(const AdmissionSettings& settings);
  // Records an opening received from a caller, admitted or refused. The
  // caller's retransmissions of the opening are not recorded.
  void RecordOpening() { m_retry_budget.AddTokensForOpening(); }
  // Records the delay from sending an opening to the first payload of the
  // server's answer. A sample of the flows is enough.
  void RecordAnswerDelay(base::Duration delay,
                         const ServiceOccupancy& service,
                         base::TimePoint now);
  RetryBudget& mutable_retry_budget() { return m_retry_budget; }

 private:
  AdmissionSettings m_settings;
  ConcurrencyLimit m_concurrency_limit;
  RetryBudget m_retry_budget;
};

}  // namespace admission

#endif  // LIBADMISSION_ADMISSION_CONTROLLER_H_
