// The decision whether an opening is admitted, and the reason if not. Logs and
// metrics share the names of the values.

#ifndef LIBADMISSION_ADMISSION_DECISION_H_
#define LIBADMISSION_ADMISSION_DECISION_H_

#include "LibBase/enum_table.h"

namespace admission {

enum class AdmissionDecision {
  kAdmitted,
  // The service has reached its connection limit.
  kServiceConnectionLimit,
  // The chosen server has reached its connection limit.
  kServerConnectionLimit,
  // The requests running and queued at the service have reached the adaptive
  // concurrency limit.
  kConcurrencyLimit,
};

inline constexpr base::EnumTable<AdmissionDecision, 4> kAdmissionDecisionNames{{
    {AdmissionDecision::kAdmitted, "admitted"},
    {AdmissionDecision::kServiceConnectionLimit, "service-connection-limit"},
    {AdmissionDecision::kServerConnectionLimit, "server-connection-limit"},
    {AdmissionDecision::kConcurrencyLimit, "concurrency-limit"},
}};

}  // namespace admission

#endif  // LIBADMISSION_ADMISSION_DECISION_H_
