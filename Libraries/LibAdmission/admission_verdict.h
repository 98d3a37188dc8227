// The verdict on an opening under admission by priority, with the data that
// decided it, for logs and metrics.

#ifndef LIBADMISSION_ADMISSION_VERDICT_H_
#define LIBADMISSION_ADMISSION_VERDICT_H_

#include <cstdint>

#include "LibAdmission/overload_detector.h"
#include "LibBase/enum_table.h"

namespace admission {

enum class AdmissionBasis {
  // The opening's priority has no limit.
  kUnlimited,
  // Fewer requests are in progress than the limit of the priority.
  kWithinLimit,
  // The priority has less than its floor of the admitted openings.
  kFloor,
  // Refused: as many requests are in progress as the limit allows.
  kOverLimit,
  // Refused: the caller was refused before, and retries have used their share
  // of the admitted openings.
  kRetryShareUsed,
};

inline constexpr base::EnumTable<AdmissionBasis, 5> kAdmissionBasisNames{{
    {AdmissionBasis::kUnlimited, "unlimited"},
    {AdmissionBasis::kWithinLimit, "within_limit"},
    {AdmissionBasis::kFloor, "floor"},
    {AdmissionBasis::kOverLimit, "over_limit"},
    {AdmissionBasis::kRetryShareUsed, "retry_share_used"},
}};

struct AdmissionVerdict {
  AdmissionBasis m_basis = AdmissionBasis::kUnlimited;
  // The limit of the opening's priority; set if the priority has one.
  double m_limit = 0;
  std::uint32_t m_in_progress = 0;
  // The priority's share of the admitted openings.
  double m_admitted_share = 0;
  // The signs of overload at the time of the verdict.
  OverloadSigns m_signs;

  bool IsAdmitted() const {
    return m_basis == AdmissionBasis::kUnlimited ||
           m_basis == AdmissionBasis::kWithinLimit ||
           m_basis == AdmissionBasis::kFloor;
  }
};

}  // namespace admission

#endif  // LIBADMISSION_ADMISSION_VERDICT_H_
