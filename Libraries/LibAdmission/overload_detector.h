// Detects from the answers that callers acknowledge whether the servers of one
// service have more requests than they can handle.
//
// A balancer never sees an answer, only its acknowledgement. A server with a
// full queue answers at once with a short refusal (status 503). An answer
// counts as a refusal if it is short and quick compared with the usual answers
// of its route, see LooksRefused. Refusals count as overload only while the
// other answers take longer than usual: servers that refuse have full queues,
// so both signs appear together. A service whose usual answers are short and
// quick therefore does not count as overloaded.

#ifndef LIBADMISSION_OVERLOAD_DETECTOR_H_
#define LIBADMISSION_OVERLOAD_DETECTOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "LibAdmission/decayed_count.h"
#include "LibBase/time.h"

namespace admission {

// What the first acknowledgement of an answer shows.
struct AnswerSample {
  // From the request, sent whole, to the acknowledgement.
  base::Duration m_time{};
  // How many bytes of the answer the caller acknowledged first. An answer of
  // several packets may be longer.
  std::uint32_t m_bytes = 0;
};

// The recent answers as the detector sees them.
struct OverloadSigns {
  // The share of answers that look like refusals, beyond the usual share.
  double m_refused_share = 0;
  // The mean time of the other answers relative to the usual time.
  double m_slowdown = 1;
  // The number of recent answers, older ones weighted less.
  double m_answers = 0;
  // The other answers take so long on average that many miss their target.
  bool m_misses_target = false;
};

class OverloadDetector {
 public:
  // The targets of the service's routes; nothing for a route without one.
  explicit OverloadDetector(
      const std::vector<std::optional<base::Duration>>& targets);

  // Queries.
  OverloadSigns SignsAt(base::TimePoint now) const;
  // Whether the signs show an overload beyond the noise of few answers.
  bool IsOverloaded(base::TimePoint now) const;

  // Commands.
  // Records the time from an opening to the end of its handshake. A server
  // handles a handshake at once even when its queue is full, so that a longer
  // time shows a delay of this balancer or of the network.
  void RecordHandshake(base::Duration time, base::TimePoint now);
  // Records an answer on the route with index `route`. `may_learn` is whether
  // the answer may change what counts as usual. Returns whether the answer
  // counts as served.
  bool RecordAnswer(std::size_t route,
                    const AnswerSample& sample,
                    bool may_learn,
                    base::TimePoint now);

 private:
  // Sums over the recent answers.
  struct Sums {
    explicit Sums(base::Duration half_life)
        : m_answers(half_life),
          m_refusals(half_life),
          m_served(half_life),
          m_slowdown(half_life),
          m_target_shares(half_life) {}

    DecayedCount m_answers;
    DecayedCount m_refusals;
    DecayedCount m_served;
    // The times of served answers relative to the usual time.
    DecayedCount m_slowdown;
    // The part of the time between the usual time and the target that served
    // answers took.
    DecayedCount m_target_shares;
  };

  // What is usual on one route.
  struct Usual {
    std::optional<base::Duration> m_target;
    double m_seconds = 0;
    double m_bytes = 0;
    int m_samples = 0;
  };

  // Answers of a period, from which the usual share of refusals is learned.
  struct Period {
    base::TimePoint m_started_at;
    double m_answers = 0;
    double m_refusals = 0;
  };

  OverloadSigns SignsOf(const Sums& sums, base::TimePoint now) const;
  bool IsOverloaded(const Sums& sums, base::TimePoint now) const;
  // How much longer handshakes take than usual.
  double LatenessSeconds(base::TimePoint now) const;
  bool LooksRefused(const Usual& usual,
                    double seconds,
                    std::uint32_t bytes) const;
  void LearnRefusedShare(bool is_refusal, base::TimePoint now);
  void Learn(Usual& usual, double seconds, std::uint32_t bytes);

  std::vector<Usual> m_usual;
  // The short period detects a strong overload within a few hundred
  // milliseconds; the long one detects a weak overload among the noise.
  Sums m_short;
  Sums m_long;
  DecayedCount m_handshakes;
  DecayedCount m_handshake_seconds;
  double m_usual_handshake_seconds = 0;
  Period m_current;
  Period m_previous;
  // The usual share of answers that look like refusals.
  double m_usual_refused_share = 0;
};

}  // namespace admission

#endif  // LIBADMISSION_OVERLOAD_DETECTOR_H_
