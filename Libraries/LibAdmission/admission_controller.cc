#include "LibAdmission/admission_controller.h"

namespace admission {

namespace {

// The load counts as near the concurrency limit from this share of it.
constexpr double kNearLimitShare = 0.9;

}  // namespace

AdmissionController::AdmissionController(const AdmissionSettings& settings)
    : m_settings(settings),
      m_concurrency_limit(settings.m_concurrency_limit),
      m_retry_budget(settings.m_retry_budget) {}

AdmissionDecision AdmissionController::DecideForService(
    const ServiceOccupancy& service) const {
  const std::uint64_t connections = m_settings.m_service_connection_limit;
  if (connections > 0 &&
      service.m_connections >= static_cast<double>(connections))
    return AdmissionDecision::kServiceConnectionLimit;
  const bool is_adaptive =
      m_settings.m_concurrency_control == ConcurrencyControl::kAdaptive;
  // Without known slots there is no concurrency limit.
  if (is_adaptive && service.m_slots > 0.0 &&
      service.m_requests >= m_concurrency_limit.Limit(service.m_slots))
    return AdmissionDecision::kConcurrencyLimit;
  return AdmissionDecision::kAdmitted;
}

AdmissionDecision AdmissionController::DecideForServer(
    const ServerOccupancy& server) const {
  if (server.m_connection_limit > 0 &&
      server.m_connections >= static_cast<double>(server.m_connection_limit))
    return AdmissionDecision::kServerConnectionLimit;
  return AdmissionDecision::kAdmitted;
}

void AdmissionController::SetSettings(const AdmissionSettings& settings) {
  m_settings = settings;
  m_concurrency_limit.SetSettings(settings.m_concurrency_limit);
  m_retry_budget.SetSettings(settings.m_retry_budget);
}

void AdmissionController::RecordAnswerDelay(base::Duration delay,
                                            const ServiceOccupancy& service,
                                            base::TimePoint now) {
  const double limit = m_concurrency_limit.Limit(service.m_slots);
  const bool is_near_limit = service.m_requests >= kNearLimitShare * limit;
  m_concurrency_limit.RecordDelay(delay, is_near_limit, now);
}

}  // namespace admission
