// Discrete-event simulation of one service in one data centre: callers,
// balancers among which flows are distributed evenly, and servers. Time is
// virtual, and a run is a pure function of its settings.

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

  // Runs the simulation to its end and returns the measurements.
  EmulatorResults Run();

 private:
  using FlowPointer = std::shared_ptr<EmulatedFlow>;

  void AddBalancers();
  // Adds a server. It receives new flows once the balancers have the updated
  // profile.
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
  // Schedules a new opening of the caller if it has retries left.
  void RetryLater(const EmulatedFlow& flow);
  void OnCompleted(const FlowPointer& flow,
                   base::BackendServerId server,
                   base::TimePoint now);
  // Schedules the publication of a changed count unless one is pending.
  void OnCountChanged(std::uint32_t balancer, base::TimePoint now);
  void PublishCounts(std::uint32_t balancer, base::TimePoint now);
  void ReceiveCounts(std::uint32_t balancer, base::TimePoint now);
  // Drains two servers and adds two cold ones.
  void ReplaceServers(base::TimePoint now);
  // Records the imbalance of the servers' utilisation.
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
  // Separate generator for arrivals, service times and keys, so that every
  // policy receives the same workload.
  base::Random m_workload;
  base::Random m_random;
  std::uint64_t m_next_server = 0;
  // The service profile that is passed to the balancers.
  balancer::ServiceProfile m_profile;
  // Servers that receive new flows.
  std::vector<base::BackendServerId> m_active_servers;
  std::unordered_map<base::BackendServerId, std::unique_ptr<EmulatedServer>>
      m_servers;
  std::vector<std::unique_ptr<EmulatedBalancer>> m_balancers;
  // The counts that each balancer has published, and the state of its
  // publisher.
  struct Publication {
    // Open flows by short server id.
    std::unordered_map<std::uint32_t, std::uint16_t> m_counts;
    membership::LoadPublisher m_publisher;
    bool m_is_pending = false;
  };
  std::vector<Publication> m_publications;
  EmulatorResults m_results;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_SERVICE_EMULATOR_H_
