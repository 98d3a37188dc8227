// The decisions about each packet of a flow on one balancer: which backend
// server gets it, which other balancer is asked, or why it is dropped. Pure:
// events in, effects out. docs/DESIGN.md section 2 explains the rules.

#ifndef LIBFLOW_FLOW_DIRECTOR_H_
#define LIBFLOW_FLOW_DIRECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "LibBase/time.h"
#include "LibFlow/effect.h"
#include "LibFlow/flow_packet.h"
#include "LibFlow/flow_settings.h"
#include "LibFlow/flow_table.h"
#include "LibFlow/opening_progress.h"
#include "LibFlow/opening_table.h"
#include "LibFlow/probe_table.h"
#include "LibFlow/service_routing.h"
#include "LibFlow/token_bucket.h"

namespace flow {

class BalancerSet;
class RoutingTable;

class FlowDirector {
 public:
  // Chooses a server for an opening out of those that may take it, in the
  // flow's order; null refuses the opening.
  using Chooser =
      std::function<const RoutedServer*(const ServiceRouting& service,
                                        const ServerOrder& order,
                                        OpeningProgress progress)>;

  FlowDirector(FlowSettings settings, Chooser chooser, base::TimePoint now);

  // Queries.
  std::size_t flow_count() const { return m_flows.size(); }
  std::size_t table_bytes() const { return m_flows.allocated_bytes(); }
  std::size_t eviction_count() const { return m_flows.evictions(); }

  // Commands.
  void SetRouting(std::shared_ptr<const RoutingTable> routing);
  void SetBalancers(std::shared_ptr<const BalancerSet> balancers);
  // Until when the configuration in force counts as current; see
  // docs/DESIGN.md section 3.
  void SetLease(base::TimePoint expires) { m_lease_expires = expires; }

  Effects HandleCallerPacket(const CallerPacket& packet, base::TimePoint now);
  Effects HandleServerPacket(const ServerPacket& packet, base::TimePoint now);
  // Forgets a share of what has expired; returns the flows that ended so.
  std::vector<FlowEvent> Expire(base::TimePoint now);

 private:
  // One packet with what was looked up for it.
  struct Subject {
    const FlowKey& m_key;
    std::uint64_t m_hash;
    const ServiceRouting& m_service;
    base::TimePoint m_now;
  };

  // An entry with its server; both are null if the flow is not known.
  struct KnownFlow {
    FlowEntry* m_entry = nullptr;
    const RoutedServer* m_server = nullptr;
  };

  bool IsLeaseValid(base::TimePoint now) const;
  bool IsHome(const Subject& subject) const;
  FlowEntry& InsertEntry(const Subject& subject);
  // Records the end of a counted flow once.
  void NoteEnd(FlowEntry& entry, base::ServiceId service, Effects& effects);
  void NoteEvicted(const FlowEntry& entry);
  // Whether a probe would find the entry's server at its first try.
  bool IsExplained(const FlowEntry& entry) const;
  Effects RelayHome(const Subject& subject, RelayContext relay) const;

  // Packets from callers.
  Effects DecideOpening(const CallerPacket& packet, const Subject& subject);
  Effects RepeatOpening(const CallerPacket& packet,
                        const Subject& subject,
                        FlowEntry& entry);
  Effects PlaceOpening(const CallerPacket& packet, const Subject& subject);
  const RoutedServer* ChooseServer(const Subject& subject,
                                   const PendingOpening* opening,
                                   OpeningReason reason);
  Effects HandleClosing(const CallerPacket& packet, const Subject& subject);
  Effects HandleData(const CallerPacket& packet, const Subject& subject);
  Effects ForwardKnown(const CallerPacket& packet,
                       const Subject& subject,
                       KnownFlow known);
  // Sends the next candidate of a probe what the former left unanswered.
  Effects ForwardProbe(const CallerPacket& packet,
                       const Subject& subject,
                       FlowEntry& entry);
  Effects Search(const CallerPacket& packet, const Subject& subject);
  Effects Probe(const CallerPacket& packet, const Subject& subject);
  // Points the entry at the next usable candidate that has not denied the
  // flow, wrapping around; false if there is none.
  bool AdvanceProbe(const Subject& subject, FlowEntry& entry);
  // The entry, if its server can still get packets and the position fits.
  KnownFlow FindKnown(const Subject& subject, std::uint32_t position);
  const RoutedServer* FindUsableServer(const Subject& subject,
                                       base::BackendServerId id) const;

  // Packets from servers.
  Effects HandleAccepted(const ServerPacket& packet, const Subject& subject);
  Effects HandleRefused(const ServerPacket& packet, const Subject& subject);
  Effects HandleNoSuchFlow(const ServerPacket& packet, const Subject& subject);
  Effects HandleEnding(const ServerPacket& packet, const Subject& subject);
  Effects HandleAnswer(const ServerPacket& packet, const Subject& subject);
  void NoteEndElsewhere(const ServerPacket& packet, const Subject& subject);
  bool WasOpenedHereLately(const Subject& subject);
  // Null if too many searches or probes are under way.
  PendingProbe* StartProbe(const Subject& subject);
  Effects ResendElsewhere(const Subject& subject,
                          FlowEntry& entry,
                          PendingOpening& opening,
                          OpeningReason reason);
  void NoteFirstAnswer(const ServerPacket& packet,
                       const Subject& subject,
                       FlowEntry& entry,
                       Effects& effects);
  base::BackendServerId IdentifyServer(const ServerPacket& packet,
                                       const ServiceRouting& service) const;

  bool IsExpired(const FlowEntry& entry, std::uint32_t now_ms) const;

  FlowSettings m_settings;
  Chooser m_chooser;
  FlowTable m_flows;
  OpeningTable m_openings;
  ProbeTable m_probes;
  TokenBucket m_search_budget;
  std::shared_ptr<const RoutingTable> m_routing;
  std::shared_ptr<const BalancerSet> m_balancers;
  base::TimePoint m_lease_expires = base::TimePoint::min();
  std::vector<FlowEvent> m_ended;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_DIRECTOR_H_
