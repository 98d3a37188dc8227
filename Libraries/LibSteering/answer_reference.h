// The usual answer times of one route on one service, as this balancer sees
// them. An answer is compared with those of the same route, since routes of a
// service differ in their work.

#ifndef LIBSTEERING_ANSWER_REFERENCE_H_
#define LIBSTEERING_ANSWER_REFERENCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "LibBase/time.h"
#include "LibSteering/recent_times.h"

namespace steering {

class AnswerReference {
 public:
  // An answer is slow if it takes this many times the median and kSlowMargin
  // more than it. The times contain the network's latency, so a server that
  // works five times as long may answer only three times as late.
  static constexpr double kSlowFactor = 2.5;
  // An answer that is later by less may have been read late on a busy
  // processor.
  static constexpr base::Duration kSlowMargin = std::chrono::milliseconds(10);
  // The time in which the unloaded answer time may double, so that a service
  // whose work has grown for good is not taken for an overloaded one for ever.
  static constexpr base::Duration kUnloadedDoubling = std::chrono::minutes(10);
  static constexpr std::size_t kCapacity = 64;
  // Answers from one computation of the median to the next.
  static constexpr std::uint32_t kAnswersPerUpdate = 8;

  // Queries.
  // Nothing until there are enough answers.
  std::optional<bool> IsSlow(base::Duration answer_time) const;
  // The share of the recent answers that are slow.
  double SlowShare() const { return m_slow_share; }
  // The median answer time relative to the least median of late: an estimate
  // of the requests in progress per busy slot of the service.
  double Load() const;
  base::TimePoint LastAnswer() const { return m_last_answer; }

  // Commands.
  void Add(base::Duration answer_time, base::TimePoint now);

 private:
  void Update(base::TimePoint now);

  RecentTimes m_times{kCapacity};
  std::uint32_t m_answers_until_update = 0;
  std::optional<base::Duration> m_median;
  double m_slow_share = 0;
  base::Duration m_unloaded{};
  base::TimePoint m_updated_at;
  base::TimePoint m_last_answer;
};

}  // namespace steering

#endif  // LIBSTEERING_ANSWER_REFERENCE_H_
