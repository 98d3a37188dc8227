// Writes log lines about decisions: one line for each opening and each request,
// and one for each retransmission, drop, reset, overdue request, inconclusive
// probe and change of a server's reachability. Lines above the log's rate limit
// are not written.

#ifndef SERVICES_EDGE_DECISION_LOG_H_
#define SERVICES_EDGE_DECISION_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibObservability/non_blocking_log.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/decision.h"

namespace edge {

// The versions of the servers and the routes that a decision is based on.
struct ViewVersion {
  // The era of the store that the view is of.
  std::uint64_t m_store_era = 0;
  std::uint64_t m_servers_revision = 0;
  // All changes of servers and manifest that are older are in the view; nothing
  // if that is not known of any age.
  std::optional<base::Duration> m_view_age;
  // The reader whose response the age rests on; nothing if it rests on this
  // balancer's own calls.
  std::optional<base::Ipv4Address> m_confirmed_by;
  std::uint64_t m_manifest_version = 0;
};

// What the age of the view rests on: "store", the address of a reader, or
// "none".
std::string ConfirmedBy(const ViewVersion& view);

class DecisionLog {
 public:
  explicit DecisionLog(observability::NonBlockingLog& log) : m_log(log) {}

  // Commands.
  // `request_id` is empty if no request starts in the packet.
  void Write(const steering::CallerPacket& packet,
             std::string_view request_id,
             const steering::Decision& decision,
             const ViewVersion& view,
             base::TimePoint now);
  void WriteResend(const steering::OpeningResend& resend,
                   const ViewVersion& view,
                   base::TimePoint now);
  // `request` was sent to `server` and has waited longer than `overdue_after`.
  void WriteUnanswered(const steering::OverdueRequest& request,
                       const steering::KnownServer& server,
                       base::Duration overdue_after,
                       base::TimePoint now);
  // `server` has become slow or sound compared with its service.
  void WriteSlowness(const steering::KnownServer& server,
                     bool is_slow,
                     base::TimePoint now);
  // `server` has become reachable or unreachable.
  void WriteReachability(const steering::KnownServer& server,
                         base::TimePoint now);
  // A probe of `server` without a connection proves nothing, since the balancer
  // received `received_bytes` of response bodies during the probe.
  void WriteInconclusiveProbe(const steering::KnownServer& server,
                              std::uint64_t received_bytes,
                              base::TimePoint now);

 private:
  void WriteOpening(const flow::FlowKey& flow,
                    const steering::Decision& decision,
                    const ViewVersion& view,
                    base::TimePoint now);
  void WriteExtra(const flow::FlowKey& flow,
                  const steering::Decision& decision,
                  base::TimePoint now);
  // Writes an opening that admission by priority refused.
  void WriteOverload(const flow::FlowKey& flow,
                     const steering::Decision& decision,
                     const ViewVersion& view,
                     base::TimePoint now);
  void WriteEstablished(const steering::CallerPacket& packet,
                        std::string_view request_id,
                        const steering::Decision& decision,
                        const ViewVersion& view,
                        base::TimePoint now);

  observability::NonBlockingLog& m_log;
};

}  // namespace edge

#endif  // SERVICES_EDGE_DECISION_LOG_H_
