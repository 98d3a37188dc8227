// Tracks the live balancers of a data centre with a protocol based on SWIM
// (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002). Each member probes one other
// member at a time and requests indirect probes if no Ack arrives. A member is
// suspected before it is declared dead. Updates are piggybacked on probes and
// Acks, and also pushed at once to a few random members.
//
// Membership does no I/O and reads no clock: its functions receive events and
// return effects. The owner calls Advance every 10 to 20 ms, after it has
// passed in all received messages.

#ifndef LIBMEMBERSHIP_MEMBERSHIP_H_
#define LIBMEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibMembership/effect.h"
#include "LibMembership/member_snapshot.h"
#include "LibMembership/member_table.h"
#include "LibMembership/newest_configuration.h"
#include "LibMembership/peer_ack_times.h"
#include "LibMembership/pending_ping.h"
#include "LibMembership/remote_peers.h"
#include "LibMembership/settings.h"
#include "LibMembership/update_queue.h"
#include "LibMembership/view_sync.h"
#include "LibMembership/vm_state.h"
#include "LibPeer/member_record.h"
#include "LibPeer/message.h"

namespace membership {

struct VmEntry;

class Membership {
 public:
  // `self` starts in state kJoining. Its incarnation should be greater than
  // those of earlier runs at the same endpoint, for example the wall clock in
  // milliseconds at the start. Of two runs at one endpoint, peers regard the
  // one with the greater incarnation as the later one.
  Membership(const Settings& settings,
             peer::MemberRecord self,
             base::TimePoint now);

  // Queries.
  const peer::MemberRecord& Self() const { return m_self; }
  // The known peers of this data centre, including dead ones.
  const MemberTable& Peers() const { return m_table; }
  // The serving members of this data centre, including this balancer. A
  // suspected member stays in the list until it is declared dead.
  const std::vector<SnapshotMember>& LiveMembers() const;
  std::shared_ptr<const MemberSnapshot> Snapshot() const { return m_snapshot; }
  // See MemberSnapshot::Rank.
  RankedMembers RankMembers(std::uint64_t flow_hash, std::size_t count) const;
  // Whether peers are expected (they served and have not left) but none has
  // acknowledged a ping that was sent within `bound`. The time of the ping
  // counts, not that of the Ack: an Ack may have waited in a queue.
  bool IsIsolated(base::TimePoint now, base::Duration bound) const;
  PeerAckTimes LatestAckTimes() const;
  bool HoldsLease(base::TimePoint now) const { return now < m_lease_expires; }
  NewestConfiguration NewestKnownConfiguration(base::TimePoint now) const;
  // Whether a balancer of this data centre should be running: it has served and
  // has not left, and if it is dead, the platform still lists its VM as live.
  bool IsExpected(const MemberEntry& entry) const;
  // The time since the last Advance: an upper bound on the time for which this
  // process was paused.
  base::Duration TimeSinceAdvance(base::TimePoint now) const;
  // Whether this member may have to contact other data centres and therefore
  // needs the list of their VMs.
  bool NeedsRemoteVms() const;

  // The number of members whose updates wait to be piggybacked.
  std::size_t PendingUpdateCount() const { return m_updates.Size(); }
  // Whether this balancer knows the members that were running before it, or has
  // found no peer for a while after its start. A balancer should not serve
  // earlier, as its ranking of members would differ from that of its peers.
  bool HasCompleteView(base::TimePoint now) const;

  // Commands. Their effects are returned by the next Advance.
  // Declares the state kServing if this balancer is joining.
  void Serve();
  // Declares the state kLeaving.
  void Leave();
  // Sets the version in force and when the platform last confirmed the version.
  // An older version is ignored. If the version is already in force, the later
  // of the two confirmations is kept.
  void SetConfiguration(base::ConfigurationVersion version,
                        std::optional<base::TimePoint> confirmed_at);
  // Pings a member out of turn to receive its configuration status.
  void Ping(base::BalancerId id, base::TimePoint now);
  // Sets when the configuration lease expires; messages report to the peers
  // whether this balancer holds the lease.
  void SetLease(base::TimePoint expires) { m_lease_expires = expires; }

  // Events.
  // Replaces the VM list. `list` has the VMs of all data centres and includes
  // the VM of this balancer.
  Effects ReceiveVmList(const std::vector<VmEntry>& list, base::TimePoint now);
  Effects ReceiveMessage(base::Endpoint from,
                         const peer::Message& message,
                         base::TimePoint now);
  Effects Advance(base::TimePoint now, base::Random& random);

 private:
  using Records = std::vector<peer::MemberRecord>;
  // The origin of a record. Changes from a page of a view synchronization are
  // not disseminated further, as the other members know them.
  enum class UpdateSource : std::uint8_t { kGossip, kMembersPage };

  // membership.cc
  // Time since the platform confirmed the version in force here.
  std::optional<std::chrono::milliseconds> ConfirmationAge(
      base::TimePoint now) const;
  // How often each update is piggybacked.
  std::size_t TransmitLimit() const;
  base::Duration SuspicionTimeout() const;
  // Sets the state of this balancer and announces it.
  void DeclareState(peer::MemberState state);
  // Queues an update for piggybacking and for the next push.
  void QueueUpdate(base::BalancerId id);
  std::optional<peer::MemberRecord> FindRecord(base::BalancerId id) const;
  void Send(base::Endpoint to,
            peer::MessageBody body,
            Records records,
            base::TimePoint now);
  // Adds queued updates to the records of a message.
  void AddPendingUpdates(Records& records);
  // Applies a record to the table, adds the effects of a change and queues the
  // change for dissemination.
  void ApplyRecord(const peer::MemberRecord& record,
                   base::TimePoint now,
                   UpdateSource source = UpdateSource::kGossip);
  // Replaces the snapshot if the live members changed.
  void RefreshSnapshot();
  // Returns the effects since the last call.
  Effects CollectEffects();

  // membership_receive.cc
  void ReceiveUpdate(const peer::MemberRecord& record,
                     base::BalancerId sender,
                     UpdateSource source,
                     base::TimePoint now);
  bool ResolveEndpointConflict(const peer::MemberRecord& record,
                               base::BalancerId sender,
                               base::TimePoint now);
  // Raises this balancer's incarnation above that of a record that reports this
  // balancer as suspected or dead, or that has a greater incarnation.
  void RefuteRecord(const peer::MemberRecord& record);
  void ApplySenderStatus(base::Endpoint from,
                         const peer::SenderStatus& sender,
                         base::TimePoint now);
  // Pings an unknown sender to receive its record.
  void RequestRecord(base::Endpoint from, base::TimePoint now);
  void UpdateNewestConfiguration(base::Endpoint from,
                                 const peer::SenderStatus& sender);
  // Whether the source of the newest version is a member, or a balancer of
  // another data centre that is known to accept requests.
  bool HasReachableSource() const;
  Records RecordsToRefute(const peer::SenderStatus& sender) const;
  void Receive(base::Endpoint from,
               const peer::Message& message,
               const peer::Ping& ping,
               base::TimePoint now);
  void Receive(base::Endpoint from,
               const peer::Message& message,
               const peer::Ack& ack,
               base::TimePoint now);
  void Receive(base::Endpoint from,
               const peer::Message& message,
               const peer::PingRequest& request,
               base::TimePoint now);
  void Receive(base::Endpoint from,
               const peer::Message& message,
               const peer::MembersRequest& request,
               base::TimePoint now);
  void Receive(base::Endpoint from,
               const peer::Message& message,
               const peer::MembersReply& reply,
               base::TimePoint now);
  void ApplyAck(const peer::SenderStatus& sender, base::TimePoint sent_at);

  // membership_advance.cc
  void DetectPause(base::TimePoint now);
  // Handles pings whose Ack is overdue.
  void CheckPings(base::TimePoint now, base::Random& random);
  // Repeats an unacknowledged probe and requests indirect probes.
  void RepeatProbe(std::uint32_t sequence,
                   PendingPing& ping,
                   base::BalancerId target,
                   base::TimePoint now,
                   base::Random& random);
  void Suspect(base::BalancerId id, base::TimePoint now);
  // Declares suspected members dead after the timeout and pings the others.
  void CheckSuspects(base::TimePoint now, base::Random& random);
  void ProbeNext(base::TimePoint now, base::Random& random);
  // Pings endpoints at which a balancer should run but no member is known.
  void ContactMissing(base::TimePoint now, base::Random& random);
  std::vector<base::Endpoint> MissingEndpoints(base::Random& random) const;
  // Pings one balancer of each other data centre for which this balancer is a
  // delegate.
  void ContactRemote(base::TimePoint now, base::Random& random);
  void RequestMembersPage(base::TimePoint now);
  // Whether this balancer is one of the members that contact the data centre.
  bool IsDelegateFor(const base::DataCentreId& data_centre) const;
  // Sends a new state of this balancer to some members.
  void Announce(base::TimePoint now, base::Random& random);
  // Sends new updates to a few members, within the push budget.
  void PushUpdates(base::TimePoint now, base::Random& random);
  // Removes members that have been dead for the tombstone lifetime and are not
  // expected to run.
  void RemoveDead(base::TimePoint now);
  void SendPing(base::Endpoint to,
                const PendingPing& pending,
                Records records,
                base::TimePoint now);
  // Returns up to `count` random members that are not dead.
  std::vector<base::BalancerId> PickMembers(std::size_t count,
                                            base::Random& random) const;

  Settings m_settings;
  peer::MemberRecord m_self;
  std::optional<base::TimePoint> m_confirmed_at;
  base::ConfigurationVersion m_newest_version;
  std::optional<base::Endpoint> m_newest_source;

  MemberTable m_table;
  std::shared_ptr<const MemberSnapshot> m_snapshot;
  bool m_is_snapshot_stale = false;
  base::TimePoint m_view_changed_at;
  base::TimePoint m_started_at;
  // The VMs of this data centre by peer endpoint; nullopt until the first list.
  std::optional<std::unordered_map<base::Endpoint, VmState>> m_listed_vms;
  std::vector<base::Endpoint> m_listed_live_endpoints;
  RemotePeers m_remote_peers;

  std::map<std::uint32_t, PendingPing> m_pings;
  std::uint32_t m_last_sequence = 0;
  std::vector<base::BalancerId> m_probe_order;
  std::optional<base::TimePoint> m_acked_ping_sent_at;
  std::optional<base::TimePoint> m_lease_holder_ping_sent_at;
  std::optional<base::TimePoint> m_lease_expires;
  ViewSync m_view_sync;

  UpdateQueue m_updates;
  std::vector<base::BalancerId> m_unpushed_updates;
  bool m_must_announce = false;
  double m_push_tokens_bytes = 0;

  base::TimePoint m_last_advance;
  base::TimePoint m_next_probe;
  base::TimePoint m_next_contact;
  base::TimePoint m_next_remote_contact;
  base::TimePoint m_next_dead_removal;
  Effects m_effects;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBERSHIP_H_
