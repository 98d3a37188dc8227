// An emulated balancer: the balancer's own service dispatcher connected to
// emulated servers.

#ifndef SERVICE_EMULATOR_EMULATED_BALANCER_H_
#define SERVICE_EMULATOR_EMULATED_BALANCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBalancer/service_dispatcher.h"
#include "LibBalancer/service_profile.h"
#include "LibBase/random.h"
#include "LibFlow/service_routing.h"
#include "ServiceEmulator/emulated_flow.h"

namespace service_emulator {

class EmulatedBalancer {
 public:
  using FlowPointer = std::shared_ptr<EmulatedFlow>;

  // Calls from the balancer to the emulator.
  struct Callbacks {
    // Offers a flow to a server. Returns false if the server refuses the flow.
    std::function<bool(const FlowPointer&, base::BackendServerId)> m_offer;
    // Returns the server with the lowest true load. Empty if the dispatcher
    // chooses.
    std::function<base::BackendServerId(const EmulatedFlow&)>
        m_choose_by_true_load;
    std::function<void(const FlowPointer&, base::BackendServerId)> m_on_placed;
    std::function<void(const FlowPointer&)> m_on_refused;
  };

  EmulatedBalancer(const balancer::ServiceProfile& profile,
                   std::uint64_t seed,
                   Callbacks callbacks,
                   base::TimePoint now);

  // Queries.
  const placement::LoadView& View() const { return m_dispatcher.load(); }

  // Commands.
  void Update(const balancer::ServiceProfile& profile, base::TimePoint now);
  void Apply(const placement::LoadEvent& event, base::TimePoint now);
  void Advance(base::TimePoint now) { m_dispatcher.Advance(now, m_random); }
  // Offers the flow to servers in turn until one accepts or the dispatcher
  // chooses none, and reports the result through the callbacks.
  void Open(const FlowPointer& flow, base::TimePoint now);
  // Records that the answer to a flow that this balancer opened has passed this
  // balancer.
  void RecordAnswer(base::BackendServerId server,
                    base::Duration delay,
                    base::TimePoint now);

 private:
  // Chooses the server for an opening that the servers in `tried` have refused.
  std::optional<base::BackendServerId> Choose(
      const EmulatedFlow& flow,
      const std::vector<base::BackendServerId>& tried);
  void ReportFlowEvent(flow::FlowEventKind kind,
                       base::BackendServerId server,
                       base::Duration elapsed,
                       base::TimePoint now);
  void AddServers(const balancer::ServiceProfile& profile);

  base::ServiceId m_service;
  base::Random m_random;
  Callbacks m_callbacks;
  balancer::ServiceDispatcher m_dispatcher;
  std::unordered_map<base::BackendServerId, flow::RoutedServer> m_servers;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATED_BALANCER_H_
