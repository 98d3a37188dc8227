// Exponential back-off with full jitter (Brooker, "Exponential Backoff and
// Jitter", 2015): a wait drawn evenly from zero to a ceiling that doubles with
// each attempt.

#ifndef LIBADMISSION_BACK_OFF_H_
#define LIBADMISSION_BACK_OFF_H_

#include <chrono>
#include <cstdint>

#include "LibBase/random.h"
#include "LibBase/time.h"

namespace admission {

struct BackOffSettings {
  // Ceiling of the first wait.
  base::Duration m_base = std::chrono::milliseconds(10);
  // Greatest ceiling.
  base::Duration m_maximum = std::chrono::seconds(1);
};

class BackOff {
 public:
  explicit BackOff(BackOffSettings settings) : m_settings(settings) {}

  // Queries.
  // The longest wait before retry number `retry`; the first is number 1.
  base::Duration Ceiling(std::uint32_t retry) const;
  // A wait before that retry.
  base::Duration Wait(std::uint32_t retry, base::Random& random) const;

 private:
  BackOffSettings m_settings;
};

}  // namespace admission

#endif  // LIBADMISSION_BACK_OFF_H_
