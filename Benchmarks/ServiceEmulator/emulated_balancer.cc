#include "ServiceEmulator/emulated_balancer.h"

#include <utility>
#include <variant>

#include "LibBase/overloaded.h"

namespace service_emulator {

EmulatedBalancer::EmulatedBalancer(const EmulatorSettings& settings,
                                   std::uint64_t seed,
                                   base::TimerService& timers,
                                   World world)
    : m_settings(settings),
      m_random(seed),
      m_timers(timers),
      m_world(std::move(world)),
      m_view(settings.m_load),
      m_policy(settings.m_policy),
      m_admission(settings.m_admission) {}

void EmulatedBalancer::Apply(const placement::LoadEvent& event,
                             base::TimePoint now) {
  m_view.Apply(event, now);
}

void EmulatedBalancer::Open(const FlowPointer& flow, base::TimePoint now) {
  m_admission.RecordOpening();
  const auto attempt = std::make_shared<Attempt>(
      Attempt{flow, admission::OpeningAttempt(m_settings.m_opening, now)});
  const bool is_admitted = m_admission.DecideForService(Occupancy()) ==
                           admission::Admission::kAdmitted;
  std::optional<base::BackendServerId> choice;
  if (is_admitted)
    choice = ChooseFor(*flow);
  Handle(attempt, admission::OpeningReceived{choice}, now);
}

void EmulatedBalancer::SeeAnswer(base::BackendServerId server,
                                 base::Duration delay,
                                 base::TimePoint now) {
  Apply(placement::AnswerStarted{server, delay}, now);
  m_admission.RecordAnswerDelay(delay, Occupancy(), now);
}

std::optional<base::BackendServerId> EmulatedBalancer::ChooseFor(
    const EmulatedFlow& flow) {
  if (m_settings.m_knowledge == Knowledge::kPerfect)
    return m_world.m_choose_perfectly(flow);
  return placement::Choose(m_policy, flow.m_order, m_view, m_random);
}

admission::ServiceOccupancy EmulatedBalancer::Occupancy() const {
  const placement::ServiceLoad total = m_view.Total();
  return {total.m_estimated_busy, static_cast<double>(total.m_slots),
          total.m_connections};
}

void EmulatedBalancer::Handle(const AttemptPointer& attempt,
                              const admission::OpeningEvent& event,
                              base::TimePoint now) {
  const admission::OpeningEffect effect = attempt->m_machine.Handle(
      event, now, m_admission.MutableRetries(), m_random);
  std::visit(base::Overloaded{
                 [&](const admission::TryServer& effect) {
                   Try(attempt, effect.m_server, now);
                 },
                 [&](const admission::WaitForRetry& effect) {
                   WaitForRetry(attempt, effect.m_timer_at);
                 },
                 [&](const admission::PlaceFlow& effect) {
                   m_world.m_placed(attempt->m_flow, effect.m_server);
                 },
                 [&](const admission::RefuseCaller&) {
                   m_world.m_refused(attempt->m_flow);
                 },
                 [](const auto&) {},
             },
             effect);
}

void EmulatedBalancer::Try(const AttemptPointer& attempt,
                           base::BackendServerId server,
                           base::TimePoint now) {
  Apply(placement::OpeningSent{server}, now);
  if (m_world.m_offer(attempt->m_flow, server)) {
    Apply(placement::OpeningAccepted{server}, now);
    Handle(attempt, admission::ServerAccepted{server}, now);
    return;
  }
  Apply(placement::OpeningRefused{server}, now);
  Handle(attempt, admission::ServerRefused{server}, now);
}

void EmulatedBalancer::WaitForRetry(const AttemptPointer& attempt,
                                    base::TimePoint until) {
  m_timers.SubscribeOnce(until, [this, attempt](base::TimePoint now) {
    Handle(attempt, admission::TimerFired{ChooseFor(*attempt->m_flow)}, now);
  });
}

}  // namespace service_emulator
