#include "LibBase/timer_service.h"

#include "LibBase/verify.h"

namespace base {

std::optional<TimePoint> TimerService::NextDeadline() const {
  if (m_timers.empty())
    return std::nullopt;
  return m_timers.begin()->first.first;
}

TimerId TimerService::SubscribeOnce(TimePoint deadline, Callback callback) {
  return Insert(deadline, Timer{std::nullopt, std::move(callback)});
}

TimerId TimerService::SubscribeEvery(TimePoint first,
                                     Duration period,
                                     Callback callback) {
  VERIFY(period > Duration::zero());
  return Insert(first, Timer{period, std::move(callback)});
}

TimerId TimerService::Insert(TimePoint deadline, Timer timer) {
  const TimerId id(m_next_id++);
  m_timers.emplace(Key{deadline, id}, std::move(timer));
  m_deadlines.emplace(id, deadline);
  return id;
}

void TimerService::Cancel(TimerId id) {
  const auto found = m_deadlines.find(id);
  if (found == m_deadlines.end())
    return;
  m_timers.erase(Key{found->second, id});
  m_deadlines.erase(found);
}

void TimerService::Advance(TimePoint now) {
  while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
    auto node = m_timers.extract(m_timers.begin());
    const TimerId id = node.key().second;
    // The callback is copied because it may cancel its own timer.
    const Callback callback = node.mapped().m_callback;
    if (node.mapped().m_period) {
      TimePoint next = node.key().first + *node.mapped().m_period;
      if (next <= now)
        next = now + *node.mapped().m_period;
      m_deadlines[id] = next;
      node.key() = Key{next, id};
      m_timers.insert(std::move(node));
    } else {
      m_deadlines.erase(id);
    }
    callback(now);
  }
}

}  // namespace base
