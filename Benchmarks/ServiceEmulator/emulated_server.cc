#include "ServiceEmulator/emulated_server.h"

#include <chrono>
#include <utility>

namespace service_emulator {

namespace {

constexpr double kSlowServerFactor = 4.0;

}  // namespace

EmulatedServer::EmulatedServer(const EmulatorSettings& settings,
                               base::BackendServerId id,
                               base::TimerService& timers,
                               CompletionCallback completed)
    : m_settings(settings),
      m_id(id),
      m_timers(timers),
      m_on_completed(std::move(completed)) {}

double EmulatedServer::Utilisation() const {
  return static_cast<double>(Load()) / m_settings.m_slots;
}

placement::LoadReported EmulatedServer::Report(base::TimePoint now) const {
  placement::LoadReported report;
  report.m_server = m_id;
  report.m_slots = m_settings.m_slots;
  const base::TimePoint measured_at = now - m_settings.m_report_lag;
  for (auto sample = m_samples.rbegin(); sample != m_samples.rend(); ++sample) {
    if (sample->m_at > measured_at)
      continue;
    report.m_busy = static_cast<std::uint32_t>(sample->m_busy);
    report.m_queued = static_cast<std::uint32_t>(sample->m_queued);
    report.m_connections = static_cast<std::uint32_t>(
        sample->m_busy + sample->m_queued + sample->m_feeds);
    break;
  }
  if (m_misbehaviour == Misbehaviour::kReportsBusy)
    report.m_busy = 2 * m_settings.m_slots;
  if (m_misbehaviour == Misbehaviour::kReportsIdle ||
      m_misbehaviour == Misbehaviour::kSlowAndReportsIdle) {
    report.m_busy = 0;
    report.m_queued = 0;
  }
  return report;
}

void EmulatedServer::SetMisbehaviour(Misbehaviour misbehaviour) {
  m_misbehaviour = misbehaviour;
}

void EmulatedServer::StartCold(base::TimePoint now) {
  m_cold_from = now;
}

bool EmulatedServer::Offer(const FlowPointer& flow, base::TimePoint now) {
  if (m_is_refusing || m_queue.size() >= m_settings.m_queue_limit)
    return false;
  if (flow->m_is_feed)
    StartFeed(flow, now);
  else if (m_busy < m_settings.m_slots)
    Start(flow, now);
  else
    m_queue.push_back(flow);
  RecordSample(now);
  return true;
}

void EmulatedServer::StartFeed(const FlowPointer& flow, base::TimePoint now) {
  ++m_feeds;
  flow->m_started_at = now;
  flow->m_has_started = true;
  m_timers.SubscribeOnce(now + flow->m_service_time,
                         [this, flow](base::TimePoint at) {
                           --m_feeds;
                           RecordSample(at);
                           m_on_completed(flow, m_id, at);
                         });
}

void EmulatedServer::Start(const FlowPointer& flow, base::TimePoint now) {
  ++m_busy;
  flow->m_started_at = now;
  flow->m_has_started = true;
  const auto time = std::chrono::duration_cast<base::Duration>(
      flow->m_service_time * ServiceFactor(now));
  m_timers.SubscribeOnce(
      now + time, [this, flow](base::TimePoint at) { Complete(flow, at); });
}

void EmulatedServer::Complete(const FlowPointer& flow, base::TimePoint now) {
  --m_busy;
  if (!m_queue.empty()) {
    const FlowPointer next = m_queue.front();
    m_queue.pop_front();
    Start(next, now);
  }
  RecordSample(now);
  m_on_completed(flow, m_id, now);
}

void EmulatedServer::RecordSample(base::TimePoint now) {
  m_samples.push_back(Sample{now, m_busy, m_queue.size(), m_feeds});
  const base::TimePoint oldest_needed = now - m_settings.m_report_lag;
  while (m_samples.size() > 1 && m_samples[1].m_at <= oldest_needed)
    m_samples.pop_front();
}

double EmulatedServer::ServiceFactor(base::TimePoint now) const {
  const double slow = m_misbehaviour == Misbehaviour::kSlowAndReportsIdle
                          ? kSlowServerFactor
                          : 1.0;
  if (m_cold_from == base::TimePoint::min() ||
      now >= m_cold_from + m_settings.m_cold_time)
    return slow;
  const double progress =
      std::chrono::duration<double>(now - m_cold_from) / m_settings.m_cold_time;
  return slow * (m_settings.m_cold_service_factor +
                 (1.0 - m_settings.m_cold_service_factor) * progress);
}

}  // namespace service_emulator
