#include "LibAdmission/opening_attempt.h"

#include <algorithm>
#include <variant>

#include "LibBase/overloaded.h"
#include "LibBase/verify.h"

namespace admission {

OpeningAttempt::OpeningAttempt(const OpeningSettings& settings,
                               base::TimePoint now)
    : m_maximum_servers(
          std::clamp<std::uint32_t>(settings.m_maximum_servers,
                                    1,
                                    std::uint32_t{kMaximumServers})),
      m_back_off(settings.m_back_off),
      m_deadline(now + settings.m_deadline) {}

std::optional<base::BackendServerId> OpeningAttempt::Outstanding() const {
  if (m_state != State::kOutstanding)
    return std::nullopt;
  return m_server;
}

OpeningEffect OpeningAttempt::Handle(const OpeningEvent& event,
                                     base::TimePoint now,
                                     RetryBudget& budget,
                                     base::Random& random) {
  if (m_state == State::kFinished)
    return NoEffect{};
  return std::visit(base::Overloaded{
                        [&](const OpeningReceived& received) {
                          return OnReceived(received.m_choice);
                        },
                        [&](const OpeningRepeated&) { return OnRepeated(); },
                        [&](const ServerAccepted& accepted) {
                          return OnAccepted(accepted.m_server);
                        },
                        [&](const ServerRefused& refused) {
                          return OnRefused(refused.m_server, now, budget,
                                           random);
                        },
                        [&](const TimerFired& fired) {
                          return OnTimer(fired.m_choice, now, budget);
                        },
                        [&](const CallerCancelled&) { return OnCancelled(); },
                    },
                    event);
}

OpeningEffect OpeningAttempt::OnReceived(
    std::optional<base::BackendServerId> choice) {
  if (m_state != State::kNew)
    return OnRepeated();
  if (!choice)
    return Refuse(RefusalReason::kNoServer);
  return Send(*choice);
}

OpeningEffect OpeningAttempt::OnRepeated() const {
  // The first copy may be lost on the way to the server; a second copy to the
  // same server does no harm (RFC 9293, section 3.10.7.4).
  if (m_state != State::kOutstanding)
    return NoEffect{};
  return TryServer{m_server, m_deadline};
}

OpeningEffect OpeningAttempt::OnAccepted(base::BackendServerId server) {
  if (m_state != State::kOutstanding || server != m_server)
    return HasRefused(server) ? OpeningEffect(ResetServer{server})
                              : OpeningEffect(NoEffect{});
  m_state = State::kFinished;
  return PlaceFlow{server};
}

OpeningEffect OpeningAttempt::OnRefused(base::BackendServerId server,
                                        base::TimePoint now,
                                        const RetryBudget& budget,
                                        base::Random& random) {
  if (m_state != State::kOutstanding || server != m_server)
    return NoEffect{};
  m_refused[m_refused_count++] = server;
  if (m_refused_count >= m_maximum_servers)
    return Refuse(RefusalReason::kTooManyAttempts);
  if (!budget.CanSpend())
    return Refuse(RefusalReason::kRetryBudgetExhausted);
  const auto retry = static_cast<std::uint32_t>(m_refused_count);
  const base::TimePoint retry_at = now + m_back_off.Wait(retry, random);
  if (retry_at >= m_deadline)
    return Refuse(RefusalReason::kDeadlineExceeded);
  m_state = State::kWaitingToRetry;
  return WaitForRetry{retry_at};
}

OpeningEffect OpeningAttempt::OnTimer(
    std::optional<base::BackendServerId> choice,
    base::TimePoint now,
    RetryBudget& budget) {
  if (m_state == State::kOutstanding)
    return now >= m_deadline ? GiveUp() : OpeningEffect(NoEffect{});
  if (m_state != State::kWaitingToRetry)
    return NoEffect{};
  if (now >= m_deadline)
    return Refuse(RefusalReason::kDeadlineExceeded);
  if (!choice || HasRefused(*choice))
    return Refuse(RefusalReason::kNoServer);
  // Others may have spent the budget during the wait.
  if (!budget.TrySpend())
    return Refuse(RefusalReason::kRetryBudgetExhausted);
  return Send(*choice);
}

OpeningEffect OpeningAttempt::OnCancelled() {
  return GiveUp();
}

OpeningEffect OpeningAttempt::Send(base::BackendServerId server) {
  m_state = State::kOutstanding;
  m_server = server;
  return TryServer{server, m_deadline};
}

OpeningEffect OpeningAttempt::Refuse(RefusalReason reason) {
  VERIFY(m_state != State::kOutstanding ||
         (m_refused_count > 0 && m_refused[m_refused_count - 1] == m_server));
  m_state = State::kFinished;
  return RefuseCaller{reason};
}

OpeningEffect OpeningAttempt::GiveUp() {
  const std::optional<base::BackendServerId> outstanding = Outstanding();
  m_state = State::kFinished;
  return GiveUpSilently{outstanding};
}

bool OpeningAttempt::HasRefused(base::BackendServerId server) const {
  return std::ranges::find(Refused(), server) != Refused().end();
}

}  // namespace admission
