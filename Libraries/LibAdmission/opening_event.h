// What happens to one opening, and what is to be done about it.

#ifndef LIBADMISSION_OPENING_EVENT_H_
#define LIBADMISSION_OPENING_EVENT_H_

#include <optional>
#include <variant>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace admission {

// Events.

// The opening has come from its caller. Nothing if no server may take it: all
// are full, or admission control refuses it.
struct OpeningReceived {
  std::optional<base::BackendServerId> m_choice;
};

// The caller has sent the same opening again.
struct OpeningRepeated {};

// A server has accepted the opening.
struct ServerAccepted {
  base::BackendServerId m_server;
};

// A server has definitely refused the opening.
struct ServerRefused {
  base::BackendServerId m_server;
};

// The timer of the last effect is due. `m_choice` is a server for a retry,
// chosen now, if there is one.
struct TimerFired {
  std::optional<base::BackendServerId> m_choice;
};

// The caller has closed or reset the opening.
struct CallerCancelled {};

using OpeningEvent = std::variant<OpeningReceived,
                                  OpeningRepeated,
                                  ServerAccepted,
                                  ServerRefused,
                                  TimerFired,
                                  CallerCancelled>;

// Why the caller is refused.
enum class RefusalReason {
  kNoServer,
  kRetryBudgetExhausted,
  kTooManyAttempts,
  kDeadlineExceeded,
};

inline constexpr base::EnumTable<RefusalReason, 4> kRefusalReasonNames{{
    {RefusalReason::kNoServer, "no-server"},
    {RefusalReason::kRetryBudgetExhausted, "retry-budget-exhausted"},
    {RefusalReason::kTooManyAttempts, "too-many-attempts"},
    {RefusalReason::kDeadlineExceeded, "deadline-exceeded"},
}};

// Effects.

// Nothing is to be done.
struct NoEffect {};

// Send the opening to the server, and set the timer to `m_timer_at`.
struct TryServer {
  base::BackendServerId m_server;
  base::TimePoint m_timer_at;
};

// Send nothing yet, and set the timer to `m_timer_at`.
struct WaitForRetry {
  base::TimePoint m_timer_at;
};

// The flow belongs to this server from now on. Cancel the timer.
struct PlaceFlow {
  base::BackendServerId m_server;
};

// Tell the caller that the opening was refused: no server has it. Cancel the
// timer.
struct RefuseCaller {
  RefusalReason m_reason = RefusalReason::kNoServer;
};

// Tell the caller nothing and forget the opening: it is not known whether the
// server has it. Cancel the timer, and reset the opening towards the server,
// if one is named, so that it frees what it holds.
struct GiveUpSilently {
  std::optional<base::BackendServerId> m_reset_server;
};

// A server has accepted a late copy of an opening that it had refused before;
// reset the opening towards it. The attempt goes on elsewhere.
struct ResetServer {
  base::BackendServerId m_server;
};

using OpeningEffect = std::variant<NoEffect,
                                   TryServer,
                                   WaitForRetry,
                                   PlaceFlow,
                                   RefuseCaller,
                                   GiveUpSilently,
                                   ResetServer>;

}  // namespace admission

#endif  // LIBADMISSION_OPENING_EVENT_H_
