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
  // The director needs a routing table and a set of balancers before it handles
  // a packet.
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
  // Returns the flow's entry, inserted if absent; may evict another entry.
  FlowEntry& InsertEntry(const PacketContext& context);
  // Adds an event for the end of the flow to `effects` if placement counts the
  // flow, and stops counting it.
  void RecordEnd(FlowEntry& entry, base::ServiceId service, Effects& effects);
  // Stores the event for the end of a counted flow whose entry is removed;
  // Expire returns the event.
  void RecordEviction(const FlowEntry& entry);
  // Whether a probe would find the entry's server at the first try.
  bool IsRecoverable(const FlowEntry& entry) const;
  Effects RelayToHome(const PacketContext& context, RelayContext relay) const;

  // Packets from callers.
  // Relays an opening to the flow's home. At the home, repeats a known opening
  // or places a new one.
  Effects DecideOpening(const CallerPacket& packet,
                        const PacketContext& context);
  // Sends a copy of a known opening to its server or to another one.
  Effects RepeatOpening(const CallerPacket& packet,
                        const PacketContext& context,
                        FlowEntry& entry);
  // Chooses a server for a new opening and sends the opening to the server.
  Effects PlaceOpening(const CallerPacket& packet,
                       const PacketContext& context);
  // Calls the chooser with the servers that may get the opening and were not
  // tried before. `opening` is null for a new opening. Returns null if no
  // server is chosen.
  const RoutedServer* ChooseServer(const PacketContext& context,
                                   const PendingOpening* opening,
                                   OpeningReason reason);
  Effects HandleClosing(const CallerPacket& packet,
                        const PacketContext& context);
  // Decides about a closing packet of a flow that this home is probing for.
  Effects HandleClosingOfProbe(const CallerPacket& packet,
                               const PacketContext& context,
                               KnownFlow known);
  // Forwards a closing packet and records the end of the flow.
  Effects CloseKnown(const CallerPacket& packet,
                     const PacketContext& context,
                     KnownFlow known);
  // The server that the relaying balancer knew; null if it named none or if the
  // server is not usable for the service.
  const RoutedServer* FindRelayedServer(const CallerPacket& packet,
                                        const PacketContext& context) const;
  Effects HandleData(const CallerPacket& packet, const PacketContext& context);
  Effects ForwardKnown(const CallerPacket& packet,
                       const PacketContext& context,
                       KnownFlow known);
  // Sends the packet to the probe's candidate, or to the next candidate if this
  // one does not answer.
  Effects ForwardProbe(const CallerPacket& packet,
                       const PacketContext& context,
                       FlowEntry& entry);
  // Relays a packet of an unknown flow to the next balancer of the search
  // order, or starts a probe if all have been searched.
  Effects Search(const CallerPacket& packet, const PacketContext& context);
  // Starts a probe with the packet and sends the packet to the first candidate
  // server.
  Effects Probe(const CallerPacket& packet, const PacketContext& context);
  // Sets the entry's server to the next usable candidate that has not denied
  // the flow, wrapping around; false if there is none.
  bool AdvanceProbe(const PacketContext& context, FlowEntry& entry);
  // The flow's entry if its server can still get packets and the position is
  // plausible.
  KnownFlow FindKnownFlow(const PacketContext& context, std::uint32_t position);
  // The server of the packet's service, or null if the service does not have
  // the server or the server must not get packets yet.
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
  // Updates the entry of a balancer that is not the home for a packet from a
  // server that ends or denies the flow.
  void RecordEndAtNonHome(const ServerPacket& packet,
                          const PacketContext& context);
  // Whether a packet that does not fit the entry of its key is a late segment
  // of an earlier flow.
  bool IsLateSegment(const PacketContext& context);
  // Null if too many searches or probes were started or are in progress.
  PendingProbe* StartProbe(const PacketContext& context);
  // Sends a stored opening to a server that has not been tried.
  Effects ResendToAnotherServer(const PacketContext& context,
                                FlowEntry& entry,
                                PendingOpening& opening,
                                OpeningReason reason);
  // Adds kAnswered to `effects` if the packet has the first payload of the
  // server.
  void RecordFirstAnswer(const ServerPacket& packet,
                         const PacketContext& context,
                         FlowEntry& entry,
                         Effects& effects);
  // The id of the server that sent the packet, or the null id if the service
  // does not have the server.
  base::BackendServerId IdentifyServer(const ServerPacket& packet,
                                       const ServiceRouting& service) const;

  // Whether the entry was idle for longer than its state permits.
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
