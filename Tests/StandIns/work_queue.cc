#include "StandIns/work_queue.h"

namespace stand_ins {

WorkQueue::WorkQueue(std::size_t slots,
                     base::Duration cold_start,
                     base::TimePoint start)
    : m_slots(slots), m_cold_start(cold_start), m_start(start) {}

std::optional<base::TimePoint> WorkQueue::NextDeadline() const {
  if (m_running.empty())
    return std::nullopt;
  return m_running.begin()->first;
}

void WorkQueue::Submit(const Job& job) {
  m_waiting.push_back(job);
}

void WorkQueue::Cancel(JobId id) {
  std::erase_if(m_waiting, [id](const Job& job) { return job.m_id == id; });
  std::erase_if(m_running,
                [id](const auto& entry) { return entry.second == id; });
}

std::vector<JobEvent> WorkQueue::Advance(base::TimePoint now) {
  std::vector<JobEvent> events;
  while (!m_running.empty() && m_running.begin()->first <= now) {
    events.push_back({m_running.begin()->second, JobEventKind::kFinished});
    m_running.erase(m_running.begin());
  }
  StartWaiting(now, &events);
  return events;
}

void WorkQueue::StartWaiting(base::TimePoint now,
                             std::vector<JobEvent>* events) {
  while (m_running.size() < m_slots && !m_waiting.empty()) {
    const Job job = m_waiting.front();
    m_waiting.pop_front();
    if (job.m_deadline <= now) {
      events->push_back({job.m_id, JobEventKind::kExpired});
      continue;
    }
    m_running.emplace(now + ServiceTimeAt(job.m_service_time, now), job.m_id);
    events->push_back({job.m_id, JobEventKind::kStarted});
  }
}

base::Duration WorkQueue::ServiceTimeAt(base::Duration service_time,
                                        base::TimePoint now) const {
  const base::Duration age = now - m_start;
  if (age >= m_cold_start)
    return service_time;
  const double coldness = 1 - std::chrono::duration<double>(age) /
                                  std::chrono::duration<double>(m_cold_start);
  const double factor = 1 + (kColdFactor - 1) * coldness;
  return std::chrono::duration_cast<base::Duration>(service_time * factor);
}

}  // namespace stand_ins
