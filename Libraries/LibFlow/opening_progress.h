// How far an opening has come when a server is chosen for it.

#ifndef LIBFLOW_OPENING_PROGRESS_H_
#define LIBFLOW_OPENING_PROGRESS_H_

#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"

namespace flow {

enum class OpeningReason : std::uint8_t {
  // It has come from the caller and was sent to no server.
  kReceived,
  // The server before has refused it.
  kRefused,
  // The server before has not answered, and the caller has repeated it.
  kUnanswered,
};

struct OpeningProgress {
  OpeningReason m_reason = OpeningReason::kReceived;
  // Since it was first sent to a server.
  base::Duration m_elapsed{};
};

}  // namespace flow

#endif  // LIBFLOW_OPENING_PROGRESS_H_
