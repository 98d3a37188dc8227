// An emulated balancer: the decision libraries, wired to emulated servers.

#ifndef SERVICE_EMULATOR_EMULATED_BALANCER_H_
#define SERVICE_EMULATOR_EMULATED_BALANCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "LibAdmission/admission_controller.h"
#include "LibAdmission/opening_attempt.h"
#include "LibBase/random.h"
#include "LibBase/timer_service.h"
#include "LibPlacement/load_view.h"
#include "LibPlacement/placement_policy.h"
#include "ServiceEmulator/emulated_flow.h"
#include "ServiceEmulator/emulator_settings.h"

namespace service_emulator {

class EmulatedBalancer {
 public:
  using FlowPointer = std::shared_ptr<EmulatedFlow>;

  // What a balancer may do to the world around it.
  struct World {
    // Offers a flow to a server; false if the server refuses.
    std::function<bool(const FlowPointer&, base::BackendServerId)> m_offer;
    // The best server by true load, for Knowledge::kPerfect.
    std::function<std::optional<base::BackendServerId>(const EmulatedFlow&)>
        m_choose_perfectly;
    std::function<void(const FlowPointer&, base::BackendServerId)> m_placed;
    std::function<void(const FlowPointer&)> m_refused;
  };

  EmulatedBalancer(const EmulatorSettings& settings,
                   std::uint64_t seed,
                   base::TimerService& timers,
                   World world);

  // Queries.
  const placement::LoadView& View() const { return m_view; }

  // Commands.
  void Apply(const placement::LoadEvent& event, base::TimePoint now);
  void Advance(base::TimePoint now) { m_view.Advance(now, m_random); }
  void Open(const FlowPointer& flow, base::TimePoint now);
  // The answer to a flow that this balancer opened has passed it.
  void SeeAnswer(base::BackendServerId server,
                 base::Duration delay,
                 base::TimePoint now);

 private:
  struct Attempt {
    FlowPointer m_flow;
    admission::OpeningAttempt m_machine;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  std::optional<base::BackendServerId> ChooseFor(const EmulatedFlow& flow);
  admission::ServiceOccupancy Occupancy() const;
  void Handle(const AttemptPointer& attempt,
              const admission::OpeningEvent& event,
              base::TimePoint now);
  void Try(const AttemptPointer& attempt,
           base::BackendServerId server,
           base::TimePoint now);
  void WaitForRetry(const AttemptPointer& attempt, base::TimePoint until);

  const EmulatorSettings& m_settings;
  base::Random m_random;
  base::TimerService& m_timers;
  World m_world;
  placement::LoadView m_view;
  placement::PlacementPolicy m_policy;
  admission::AdmissionController m_admission;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATED_BALANCER_H_
