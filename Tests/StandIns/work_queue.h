// The slots of a backend server and the queue of requests before them.

#ifndef STANDINS_WORK_QUEUE_H_
#define STANDINS_WORK_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/strong_id.h"
#include "LibBase/time.h"

namespace stand_ins {

using JobId = base::StrongId<struct JobIdTag, std::uint64_t>;

enum class JobEventKind {
  kStarted,
  kFinished,
  kExpired,  // its deadline had passed when a slot became free for it
};

struct JobEvent {
  JobId m_id;
  JobEventKind m_kind;
};

struct Job {
  JobId m_id;
  base::Duration m_service_time{};
  base::TimePoint m_deadline;
};

class WorkQueue {
 public:
  // Service times of a cold server are multiplied by kColdFactor, falling
  // linearly to 1 over `cold_start` from `start` on.
  WorkQueue(std::size_t slots,
            base::Duration cold_start,
            base::TimePoint start);

  // Queries.
  std::size_t Slots() const { return m_slots; }
  std::size_t Busy() const { return m_running.size(); }
  std::size_t Queued() const { return m_waiting.size(); }
  std::optional<base::TimePoint> NextDeadline() const;

  // Commands.
  void Submit(const Job& job);
  // Takes a job out of the queue or its slot; does nothing if it has gone.
  void Cancel(JobId id);
  // Finishes what is due and fills the free slots; the events in their order.
  std::vector<JobEvent> Advance(base::TimePoint now);

 private:
  static constexpr double kColdFactor = 4;

  base::Duration ServiceTimeAt(base::Duration service_time,
                               base::TimePoint now) const;
  void StartWaiting(base::TimePoint now, std::vector<JobEvent>* events);

  std::size_t m_slots;
  base::Duration m_cold_start;
  base::TimePoint m_start;
  std::deque<Job> m_waiting;
  std::multimap<base::TimePoint, JobId> m_running;  // by end of service
};

}  // namespace stand_ins

#endif  // STANDINS_WORK_QUEUE_H_
