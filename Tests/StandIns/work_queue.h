// The slots of a backend server and the requests that wait for a slot.

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
  kExpired,  // the deadline had passed when a slot became free for the job
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
  // Service times are multiplied by a factor that falls linearly from
  // kColdFactor at `start` to 1 at `start` + `cold_start`.
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
  // Removes a job from the queue or its slot; does nothing if the job is in
  // neither.
  void Cancel(JobId id);
  // Finishes the due jobs, fills the free slots and returns the events in
  // order.
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
