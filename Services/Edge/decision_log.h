// Writes the decisions on packets as log lines: one for each opening and each
// request, and for everything out of the ordinary.

#ifndef SERVICES_EDGE_DECISION_LOG_H_
#define SERVICES_EDGE_DECISION_LOG_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibObservability/line_log.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/decision.h"

namespace edge {

// What is known of the belief that decided.
struct ViewVersion {
  std::uint64_t m_servers_revision = 0;
  // Since the store last confirmed it; nothing if it never did.
  std::optional<base::Duration> m_servers_age;
  std::uint64_t m_manifest_version = 0;
};

class DecisionLog {
 public:
  explicit DecisionLog(observability::LineLog& log) : m_log(log) {}

  // Commands.
  // `request_id` is empty if no request begins in the packet.
  void Write(const steering::CallerPacket& packet,
             std::string_view request_id,
             const steering::Decision& decision,
             const ViewVersion& view,
             base::TimePoint now);
  void WriteResend(const steering::OpeningResend& resend,
                   const ViewVersion& view,
                   base::TimePoint now);
  // `request` waits longer than `overdue_after`; `server` is where it went.
  void WriteUnanswered(const steering::OverdueRequest& request,
                       const steering::KnownServer& server,
                       base::Duration overdue_after,
                       base::TimePoint now);
  // `server` was judged reachable or unreachable.
  void WriteReachability(const steering::KnownServer& server,
                         base::TimePoint now);

 private:
  void WriteOpening(const flow::FlowKey& flow,
                    const steering::Decision& decision,
                    const ViewVersion& view,
                    base::TimePoint now);
  void WriteEstablished(const steering::CallerPacket& packet,
                        std::string_view request_id,
                        const steering::Decision& decision,
                        const ViewVersion& view,
                        base::TimePoint now);

  observability::LineLog& m_log;
};

}  // namespace edge

#endif  // SERVICES_EDGE_DECISION_LOG_H_
