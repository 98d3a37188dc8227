// Whether an opening is let in, and why not. Names are shared by logs and
// metrics.

#ifndef LIBADMISSION_ADMISSION_DECISION_H_
#define LIBADMISSION_ADMISSION_DECISION_H_

#include "LibBase/enum_table.h"

namespace admission {

enum class AdmissionDecision {
  kAdmitted,
  // The service holds as many connections as it may.
  kServiceConnectionLimit,
  // The chosen server holds as many connections as it may.
  kServerConnectionLimit,
  // As many requests run and wait as the service serves without delay.
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
