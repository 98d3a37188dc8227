// Messages between balancers that detect silent flows, and their log lines.

#include <chrono>
#include <string>
#include <utility>

#include "LibFlow/silence_detector.h"
#include "LibObservability/log.h"
#include "balancer_process.h"
#include "flow_watch_mapping.h"

namespace service {

namespace {

using observability::Event;
using observability::Severity;
using observability::WriteLog;

// The log limits lines by key. All silent flows use one key and share its
// limit.
constexpr const char* kLogKey = "";

}  // namespace

void BalancerProcess::HandleSilenceActions(
    const flow::SilenceActions& actions) {
  const base::TimePoint now = base::Clock::now();
  if (actions.m_request) {
    for (const flow::Balancer& balancer : m_published_balancers->balancers()) {
      const auto* entry = m_membership->Peers().Find(balancer.m_id);
      if (entry != nullptr)
        m_peer_link->Send(
            entry->m_record.m_peer,
            MakePeerMessage(ToPeerWatchRequest(*actions.m_request)));
    }
  }
  for (const flow::AddressedReply& reply : actions.m_replies) {
    const auto* entry = m_membership->Peers().Find(reply.m_to);
    if (entry != nullptr)
      m_peer_link->Send(entry->m_record.m_peer,
                        MakePeerMessage(ToPeerWatchReply(reply.m_reply)));
  }
  for (const flow::SilentFlow& silent : actions.m_silent)
    LogSilentFlow(silent, now);
  for (const auto& summary : m_log_limiter.CollectSummaries(now))
    WriteLog(Severity::kWarning, Event::kEventsSuppressed,
             {{"of", std::string(base::NameOf(observability::kEventNames,
                                              summary.m_event))},
              {"count", summary.m_suppressed}});
}

void BalancerProcess::LogSilentFlow(const flow::SilentFlow& silent,
                                    base::TimePoint now) {
  if (!m_log_limiter.Admit(Event::kFlowsSilent, kLogKey, now))
    return;
  using std::chrono::milliseconds;
  const flow::StreamPacket& repetition = silent.m_repetition;
  const bool is_caller = repetition.m_sender == flow::StreamEnd::kCaller;
  WriteLog(Severity::kWarning, Event::kFlowsSilent,
           {{"caller", base::ToString(repetition.m_key.m_caller)},
            {"service", base::ToString(repetition.m_key.m_service)},
            {"unanswered", is_caller ? "caller" : "server"},
            {"silent_ms",
             std::chrono::duration_cast<milliseconds>(silent.m_silent_for)
                 .count()}});
}

void BalancerProcess::OnFlowWatchRequest(base::BalancerId from,
                                         const peer::FlowWatchRequest& watch) {
  m_traffic->Post([from, request = FromPeerWatchRequest(watch)](
                      balancer::TrafficCore& core, base::TimePoint now) {
    core.HandleWatchRequest(from, request, now);
  });
}

void BalancerProcess::OnFlowWatchReply(base::BalancerId from,
                                       const peer::FlowWatchReply& reply) {
  m_traffic->Post([from, mapped = FromPeerWatchReply(reply)](
                      balancer::TrafficCore& core, base::TimePoint) {
    core.HandleWatchReply(from, mapped);
  });
}

}  // namespace service
