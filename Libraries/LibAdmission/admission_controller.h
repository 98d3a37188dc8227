// Decides for one service which openings are let in. Only openings are ever
// refused: a flow that has been let in is none of its business.

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
  // Connections to the whole service in this data centre; zero for no limit.
  std::uint64_t m_service_connection_limit = 0;
  ConcurrencyControl m_concurrency_control = ConcurrencyControl::kAdaptive;
  ConcurrencySettings m_concurrency_limit;
  RetryBudgetSettings m_retry_budget;
};

// The load on the service as the balancer estimates it now.
struct ServiceOccupancy {
  // Requests that run and queue on all servers that are not draining.
  double m_requests = 0.0;
  double m_slots = 0.0;
  double m_connections = 0.0;
};

// Connections of the chosen server.
struct ServerOccupancy {
  double m_connections = 0.0;
  // Zero stands for no limit.
  std::uint64_t m_connection_limit = 0;
};

class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionSettings& settings);

  // Queries.
  // Whether an opening may go to any server of the service.
  AdmissionDecision DecideForService(const ServiceOccupancy& service) const;
  // Whether an opening that the service admits may go to this server.
  AdmissionDecision DecideForServer(const ServerOccupancy& server) const;
  const RetryBudget& retry_budget() const { return m_retry_budget; }
  const ConcurrencyLimit& concurrency_limit() const {
    return m_concurrency_limit;
  }

  // Commands.
  // Takes effect for the next opening; what was learned stays.
  void SetSettings(const AdmissionSettings& settings);
  // Counts an opening received from a caller, let in or not. A caller's
  // retransmission of it is not counted again.
  void RecordOpening() { m_retry_budget.AddTokensForOpening(); }
  // Takes in the delay from sending an opening to the first payload of the
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
