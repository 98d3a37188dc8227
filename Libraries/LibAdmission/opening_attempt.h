// Places one opening. It goes to one server at a time, and to another only
// after the one before has definitely refused it. The caller is refused only
// if every server that the opening went to has refused it; after a server that
// stays silent the attempt ends without a word, because nobody knows whether
// that server has the opening.

#ifndef LIBADMISSION_OPENING_ATTEMPT_H_
#define LIBADMISSION_OPENING_ATTEMPT_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "LibAdmission/back_off.h"
#include "LibAdmission/opening_event.h"
#include "LibAdmission/retry_budget.h"
#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"

namespace admission {

struct OpeningSettings {
  // From the first packet of the opening to the end of all attempts.
  base::Duration m_deadline = std::chrono::seconds(5);
  // Servers that one opening may go to; at most kMaximumServers count.
  std::uint32_t m_maximum_servers = 3;
  BackOffSettings m_back_off;
};

class OpeningAttempt {
 public:
  static constexpr std::size_t kMaximumServers = 4;

  OpeningAttempt(const OpeningSettings& settings, base::TimePoint now);

  // Queries.
  bool IsFinished() const { return m_state == State::kFinished; }
  // The server that has the opening and has not answered, if any.
  std::optional<base::BackendServerId> Outstanding() const;
  // The servers that have refused, which the next choice leaves out.
  std::span<const base::BackendServerId> Refused() const {
    return {m_refused.data(), m_refused_count};
  }
  base::TimePoint Deadline() const { return m_deadline; }

  // Commands.
  // Takes in an event and returns what is to be done. Events that no longer
  // fit, such as an answer of a server that is not outstanding, do nothing.
  // Retries are paid for out of `budget`.
  OpeningEffect Handle(const OpeningEvent& event,
                       base::TimePoint now,
                       RetryBudget& budget,
                       base::Random& random);

 private:
  enum class State {
    kNew,
    kOutstanding,
    kWaitingToRetry,
    kFinished,
  };

  OpeningEffect OnReceived(std::optional<base::BackendServerId> choice);
  OpeningEffect OnRepeated() const;
  OpeningEffect OnAccepted(base::BackendServerId server);
  OpeningEffect OnRefused(base::BackendServerId server,
                          base::TimePoint now,
                          const RetryBudget& budget,
                          base::Random& random);
  OpeningEffect OnTimer(std::optional<base::BackendServerId> choice,
                        base::TimePoint now,
                        RetryBudget& budget);
  OpeningEffect OnCancelled();

  OpeningEffect Send(base::BackendServerId server);
  OpeningEffect Refuse(RefusalReason reason);
  OpeningEffect GiveUp();
  bool HasRefused(base::BackendServerId server) const;

  std::uint32_t m_maximum_servers;
  BackOff m_back_off;
  base::TimePoint m_deadline;
  State m_state = State::kNew;
  base::BackendServerId m_server;
  std::array<base::BackendServerId, kMaximumServers> m_refused{};
  std::size_t m_refused_count = 0;
};

}  // namespace admission

#endif  // LIBADMISSION_OPENING_ATTEMPT_H_
