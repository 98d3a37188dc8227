// Emulates one service in one data centre event by event: callers, balancers
// that share its flows evenly, and servers. Time is virtual, and a run is a
// pure function of its settings.

#ifndef SERVICE_EMULATOR_SERVICE_EMULATOR_H_
#define SERVICE_EMULATOR_SERVICE_EMULATOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/timer_service.h"
#include "ServiceEmulator/emulated_balancer.h"
#include "ServiceEmulator/emulated_flow.h"
#include "ServiceEmulator/emulated_server.h"
#include "ServiceEmulator/emulator_results.h"
#include "ServiceEmulator/emulator_settings.h"

namespace service_emulator {

class ServiceEmulator {
 public:
  explicit ServiceEmulator(const EmulatorSettings& settings);

  // Runs from the start to the end and returns what was measured.
  EmulatorResults Run();

 private:
  using FlowPointer = std::shared_ptr<EmulatedFlow>;

  void AddBalancers();
  // A server that takes new flows as soon as the balancers know of it.
  EmulatedServer& AddServer();
  void ScheduleArrival(base::TimePoint now);
  void ScheduleReports();
  void ScheduleFaults();
  void ScheduleSamples();

  void OpenNewFlow(base::TimePoint now);
  void Open(const FlowPointer& flow, base::TimePoint now);
  void OnPlaced(const FlowPointer& flow, base::BackendServerId server);
  void OnRefused(const FlowPointer& flow);
  void OnCallerTimeout(const FlowPointer& flow);
  void RetryLater(const EmulatedFlow& flow);
  void OnCompleted(const FlowPointer& flow,
                   base::BackendServerId server,
                   base::TimePoint now);
  // Tells the peers of a changed count as soon as the interval permits.
  void OnCountChanged(std::uint32_t balancer, base::TimePoint now);
  void PublishCounts(std::uint32_t balancer, base::TimePoint now);
  void ReceiveCounts(std::uint32_t balancer, base::TimePoint now);
  void ReplaceServers(base::TimePoint now);
  void Sample();

  bool IsMeasured() const;
  double OfferedLoad() const;
  EmulatedServer* FindServer(base::BackendServerId server);
  std::vector<base::BackendServerId> RendezvousOrder(std::uint64_t key) const;
  base::BackendServerId ChooseByTrueLoad(const EmulatedFlow& flow);
  void UpdateBalancers(base::TimePoint now);

  EmulatorSettings m_settings;
  base::TimerService m_timers;
  base::TimePoint m_now;
  base::TimePoint m_measurement_start;
  base::TimePoint m_measurement_end;
  // Arrivals, service times and keys come from a generator of their own, so
  // that every policy meets the same callers.
  base::Random m_workload;
  base::Random m_random;
  std::uint64_t m_next_server = 0;
  // What the balancers are told of the servers.
  balancer::ServiceProfile m_profile;
  // Servers that take new flows.
  std::vector<base::BackendServerId> m_active_servers;
  std::unordered_map<base::BackendServerId, std::unique_ptr<EmulatedServer>>
      m_servers;
  std::vector<std::unique_ptr<EmulatedBalancer>> m_balancers;
  // What each balancer has told the others, and when.
  struct Publication {
    // By load key.
    std::unordered_map<std::uint32_t, std::uint16_t> m_counts;
    membership::LoadPublisher m_publisher;
    bool m_is_pending = false;
  };
  std::vector<Publication> m_publications;
  EmulatorResults m_results;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_SERVICE_EMULATOR_H_
