// Whether an opening is let in, and why not. Names are shared by logs and
// metrics.

#ifndef LIBADMISSION_ADMISSION_H_
#define LIBADMISSION_ADMISSION_H_

#include "LibBase/enum_table.h"

namespace admission {

enum class Admission {
  kAdmitted,
  // The service holds as many connections as it may.
  kServiceConnectionLimit,
  // The chosen server holds as many connections as it may.
  kServerConnectionLimit,
  // As many requests run and wait as the service serves without delay.
  kConcurrencyLimit,
};

inline constexpr base::EnumTable<Admission, 4> kAdmissionNames{{
    {Admission::kAdmitted, "admitted"},
    {Admission::kServiceConnectionLimit, "service-connection-limit"},
    {Admission::kServerConnectionLimit, "server-connection-limit"},
    {Admission::kConcurrencyLimit, "concurrency-limit"},
}};

}  // namespace admission

#endif  // LIBADMISSION_ADMISSION_H_
