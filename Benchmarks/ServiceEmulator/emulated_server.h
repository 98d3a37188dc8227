// An emulated backend server with slots, an optionally limited first-in
// first-out queue, a cold start, and load reports that lag and may be wrong.

#ifndef SERVICE_EMULATOR_EMULATED_SERVER_H_
#define SERVICE_EMULATOR_EMULATED_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibBase/timer_service.h"
#include "LibPlacement/load_event.h"
#include "ServiceEmulator/emulated_flow.h"
#include "ServiceEmulator/emulator_settings.h"

namespace service_emulator {

class EmulatedServer {
 public:
  using FlowPointer = std::shared_ptr<EmulatedFlow>;
  using CompletionCallback = std::function<void(const FlowPointer& flow,
                                                base::BackendServerId server,
                                                base::TimePoint now)>;

  EmulatedServer(const EmulatorSettings& settings,
                 base::BackendServerId id,
                 base::TimerService& timers,
                 CompletionCallback completed);

  // Queries.
  base::BackendServerId Id() const { return m_id; }
  // Requests running.
  std::size_t Busy() const { return m_busy; }
  // Requests running and queued.
  std::size_t Load() const { return m_busy + m_queue.size(); }
  // Requests running and queued per slot.
  double Utilisation() const;
  // Returns the load that the server reports at `now`.
  placement::LoadReported Report(base::TimePoint now) const;

  // Commands.
  void SetMisbehaviour(Misbehaviour misbehaviour);
  void SetRefusing(bool is_refusing) { m_is_refusing = is_refusing; }
  // Starts a cold period at `now`: service times are longer and return to
  // normal over m_cold_time.
  void StartCold(base::TimePoint now);
  // Accepts a flow. Returns false if the server refuses the flow.
  [[nodiscard]] bool Offer(const FlowPointer& flow, base::TimePoint now);

 private:
  // The load at one time, from which delayed reports are made.
  struct Sample {
    base::TimePoint m_at;
    std::size_t m_busy;
    std::size_t m_queued;
    std::size_t m_feeds;
  };

  void StartFeed(const FlowPointer& flow, base::TimePoint now);
  void Start(const FlowPointer& flow, base::TimePoint now);
  void Complete(const FlowPointer& flow, base::TimePoint now);
  void RecordSample(base::TimePoint now);
  // Returns the factor by which requests run longer than on a warm server.
  double ServiceFactor(base::TimePoint now) const;

  const EmulatorSettings& m_settings;
  base::BackendServerId m_id;
  base::TimerService& m_timers;
  CompletionCallback m_on_completed;
  Misbehaviour m_misbehaviour = Misbehaviour::kNone;
  bool m_is_refusing = false;
  base::TimePoint m_cold_from = base::TimePoint::min();
  std::size_t m_busy = 0;
  std::size_t m_feeds = 0;
  std::deque<FlowPointer> m_queue;
  std::deque<Sample> m_samples;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATED_SERVER_H_
