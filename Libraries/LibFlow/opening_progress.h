// Why a server is chosen for an opening, and how long after its first
// transmission.

#ifndef LIBFLOW_OPENING_PROGRESS_H_
#define LIBFLOW_OPENING_PROGRESS_H_

#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"

namespace flow {

enum class OpeningReason : std::uint8_t {
  // The opening came from the caller and was sent to no server yet.
  kReceived,
  // The previous server has refused the opening.
  kRefused,
  // The previous server has not answered the opening, and the caller has
  // repeated it.
  kUnanswered,
};

struct OpeningProgress {
  OpeningReason m_reason = OpeningReason::kReceived;
  // Time since the opening was first sent to a server.
  base::Duration m_elapsed{};
};

}  // namespace flow

#endif  // LIBFLOW_OPENING_PROGRESS_H_
