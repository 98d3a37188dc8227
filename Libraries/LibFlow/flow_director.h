// Decides about each packet of a flow on one balancer: which backend server
// gets the packet, to which other balancer it is relayed, or why it is dropped.
// The director does no input or output: it receives packets and returns
// effects. docs/DESIGN.md section 2 explains the rules.

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
  // Chooses a server for an opening. `order` has the servers that may get the
  // opening, in the flow's order. Null refuses the opening.
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
  // Sets until when the configuration in force counts as current; see
  // docs/DESIGN.md section 3.
  void SetLease(base::TimePoint expires) { m_lease_expires = expires; }

  Effects HandleCallerPacket(const CallerPacket& packet, base::TimePoint now);
  Effects HandleServerPacket(const ServerPacket& packet, base::TimePoint now);
  // Removes expired openings and probes, and expired entries in the next part
  // of the flow table. Returns an event for each counted flow that ended by
  // expiry, eviction or loss of its server since the last call.
  std::vector<FlowEvent> Expire(base::TimePoint now);

 private:
  // The flow, the service and the time of the current packet.
  struct PacketContext {
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
  bool IsHome(const PacketContext& context) const;
  FlowEntry& InsertEntry(const PacketContext& context);
  // Adds an event for the end of the flow to `effects` if placement counts the
  // flow, and stops counting it.
  void RecordEnd(FlowEntry& entry, base::ServiceId service, Effects& effects);
  void RecordEviction(const FlowEntry& entry);
  // Whether a probe would find the entry's server at the first try.
  bool IsRecoverable(const FlowEntry& entry) const;
  Effects RelayToHome(const PacketContext& context, RelayContext relay) const;

  // Packets from callers.
  Effects DecideOpening(const CallerPacket& packet,
                        const PacketContext& context);
  Effects RepeatOpening(const CallerPacket& packet,
                        const PacketContext& context,
                        FlowEntry& entry);
  Effects PlaceOpening(const CallerPacket& packet,
                       const PacketContext& context);
  const RoutedServer* ChooseServer(const PacketContext& context,
                                   const PendingOpening* opening,
                                   OpeningReason reason);
  Effects HandleClosing(const CallerPacket& packet,
                        const PacketContext& context);
  Effects HandleData(const CallerPacket& packet, const PacketContext& context);
  Effects ForwardKnown(const CallerPacket& packet,
                       const PacketContext& context,
                       KnownFlow known);
  // Sends the packet to the probe's candidate, or to the next candidate if this
  // one does not answer.
  Effects ForwardProbe(const CallerPacket& packet,
                       const PacketContext& context,
                       FlowEntry& entry);
  Effects Search(const CallerPacket& packet, const PacketContext& context);
  Effects Probe(const CallerPacket& packet, const PacketContext& context);
  // Sets the entry's server to the next usable candidate that has not denied
  // the flow, wrapping around; false if there is none.
  bool AdvanceProbe(const PacketContext& context, FlowEntry& entry);
  // The flow's entry if its server can still get packets and the position is
  // plausible.
  KnownFlow FindKnownFlow(const PacketContext& context, std::uint32_t position);
  const RoutedServer* FindUsableServer(const PacketContext& context,
                                       base::BackendServerId id) const;

  // Packets from servers.
  Effects HandleAccepted(const ServerPacket& packet,
                         const PacketContext& context);
  Effects HandleRefused(const ServerPacket& packet,
                        const PacketContext& context);
  Effects HandleNoSuchFlow(const ServerPacket& packet,
                           const PacketContext& context);
  Effects HandleServerClosing(const ServerPacket& packet,
                              const PacketContext& context);
  Effects HandleAnswer(const ServerPacket& packet,
                       const PacketContext& context);
  void RecordEndAtNonHome(const ServerPacket& packet,
                          const PacketContext& context);
  bool WasOpenedHereRecently(const PacketContext& context);
  // Null if too many searches or probes were started or are in progress.
  PendingProbe* StartProbe(const PacketContext& context);
  Effects ResendToAnotherServer(const PacketContext& context,
                                FlowEntry& entry,
                                PendingOpening& opening,
                                OpeningReason reason);
  void RecordFirstAnswer(const ServerPacket& packet,
                         const PacketContext& context,
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
  std::vector<FlowEvent> m_ended_flows;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_DIRECTOR_H_
