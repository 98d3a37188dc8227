// Membership and open-flow counts that a balancer exchanges with its peers.

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibFlow/balancer_set.h"
#include "LibObservability/log.h"
#include "LibPlatform/configuration_watcher.h"
#include "LibPlatform/configuration_watcher_driver.h"
#include "LibPlatform/vm_poller.h"
#include "balancer_process.h"

namespace service {

namespace {

using observability::Event;
using observability::Severity;
using observability::WriteLog;
using std::chrono::milliseconds;

// Intervals of listing the VMs of all data centres. The few members that
// contact other data centres (delegates) use the short one. All other members
// also need the list, because each can become a delegate.
constexpr auto kDelegateVmListInterval = std::chrono::seconds(5);
constexpr auto kRemoteVmListInterval = std::chrono::seconds(60);

// Returns the state in which the peer takes part in traffic, or nothing if the
// peer takes no part.
std::optional<flow::BalancerState> TrafficStateOf(
    const membership::MemberEntry& entry) {
  switch (entry.m_record.m_state) {
    case peer::MemberState::kLeaving:
      return flow::BalancerState::kLeaving;
    case peer::MemberState::kServing:
    case peer::MemberState::kSuspected:
      if (!entry.m_has_served)
        return std::nullopt;
      // A peer without a lease forwards no packet of a flow that it may decide
      // about.
      return entry.m_suspected_since || !entry.m_holds_lease
                 ? flow::BalancerState::kSuspected
                 : flow::BalancerState::kServing;
    case peer::MemberState::kJoining:
    case peer::MemberState::kDead:
      break;
  }
  return std::nullopt;
}

membership::VmEntry ToVmEntry(const platform::VmRecord& vm) {
  return {vm.m_name,
          vm.m_data_centre,
          vm.m_state == platform::VmState::kLive
              ? membership::VmState::kLive
              : membership::VmState::kLeaving,
          vm.m_traffic,
          vm.m_peer,
          vm.m_admin};
}

}  // namespace

void BalancerProcess::AdvanceMembership(base::TimePoint now) {
  m_membership->SetConfiguration(
      m_configuration->version(),
      m_configuration_watcher->watcher().ConfirmedAt());
  ExecuteEffects(m_membership->Advance(now, m_random));
  ReportPeerConfirmation(now);
  PublishBalancers();
}

void BalancerProcess::ExecuteEffects(const membership::Effects& effects) {
  const base::Overloaded visitor{
      [this](const membership::SendMessage& send) {
        m_peer_link->Send(send.m_to, send.m_message);
      },
      [](const membership::MemberAdded& added) {
        WriteLog(Severity::kInfo, Event::kPeerJoined,
                 {{"peer", added.m_record.m_name}});
      },
      [](const membership::MemberChanged& changed) {
        if (changed.m_record.m_state == peer::MemberState::kSuspected)
          WriteLog(Severity::kWarning, Event::kPeerSuspected,
                   {{"peer", changed.m_record.m_name}});
      },
      [](const membership::MemberRemoved& removed) {
        WriteLog(Severity::kInfo, Event::kPeerLeft,
                 {{"peer", removed.m_record.m_name}});
      },
      [](const membership::LiveMembersChanged&) {},
      [](const membership::PauseDetected& paused) {
        WriteLog(Severity::kWarning, Event::kPauseDetected,
                 {{"paused_ms",
                   std::chrono::duration_cast<milliseconds>(paused.m_duration)
                       .count()}});
      }};
  for (const membership::Effect& effect : effects)
    std::visit(visitor, effect);
}

void BalancerProcess::OnPeerMessage(base::Endpoint from,
                                    const peer::Message& message) {
  ExecuteEffects(
      m_membership->ReceiveMessage(from, message, base::Clock::now()));
  if (const auto* digest = std::get_if<peer::LoadDigest>(&message.m_body))
    m_load_sharer.Receive(message.m_sender.m_id, *digest);
  if (const auto* watch = std::get_if<peer::FlowWatchRequest>(&message.m_body))
    OnFlowWatchRequest(message.m_sender.m_id, *watch);
  if (const auto* reply = std::get_if<peer::FlowWatchReply>(&message.m_body))
    OnFlowWatchReply(message.m_sender.m_id, *reply);
  m_configuration_watcher->Handle(platform::PeerDigest{
      message.m_sender.m_id, message.m_sender.m_configuration.m_version,
      std::nullopt});
}

void BalancerProcess::OnOwnVms(const std::vector<platform::VmRecord>& vms) {
  m_has_vm_list = true;
  m_own_vms.clear();
  for (const platform::VmRecord& vm : vms)
    m_own_vms.push_back(ToVmEntry(vm));
  ApplyVmLists();
}

// FIXME: The list of all VMs grows with the number of data centres and VMs. The
// platform could list only a few VMs of each data centre.
void BalancerProcess::OnAllVms(const std::vector<platform::VmRecord>& vms) {
  m_remote_vms.clear();
  for (const platform::VmRecord& vm : vms) {
    if (vm.m_data_centre != m_settings.m_data_centre)
      m_remote_vms.push_back(ToVmEntry(vm));
  }
  if (m_has_vm_list)
    ApplyVmLists();
}

void BalancerProcess::ApplyVmLists() {
  std::vector<membership::VmEntry> entries = m_own_vms;
  entries.insert(entries.end(), m_remote_vms.begin(), m_remote_vms.end());
  ExecuteEffects(m_membership->ReceiveVmList(entries, base::Clock::now()));
  m_all_vms_poller->SetInterval(m_membership->NeedsRemoteVms()
                                    ? kDelegateVmListInterval
                                    : kRemoteVmListInterval);
}

void BalancerProcess::PublishBalancers() {
  std::vector<flow::Balancer> balancers{{m_id, m_traffic->LocalEndpoint(),
                                         m_phase == ProcessPhase::kLeaving
                                             ? flow::BalancerState::kLeaving
                                             : flow::BalancerState::kServing}};
  platform::LivePeersChanged peers;
  for (const auto& [id, entry] : m_membership->Peers().Entries()) {
    const auto state = TrafficStateOf(entry);
    if (!state)
      continue;
    balancers.push_back({id, entry.m_record.m_traffic, *state});
    if (*state == flow::BalancerState::kServing)
      peers.m_peers.push_back(id);
  }
  if (m_published_balancers != nullptr &&
      std::ranges::equal(balancers, m_published_balancers->balancers()))
    return;
  m_published_balancers =
      m_published_balancers == nullptr
          ? std::make_shared<flow::BalancerSet>(m_id, std::move(balancers))
          : std::make_shared<flow::BalancerSet>(m_id, std::move(balancers),
                                                *m_published_balancers);
  m_load_sharer.RetainPeers(*m_membership->Snapshot());
  m_configuration_watcher->Handle(peers);
  m_traffic->Post([set = m_published_balancers](balancer::TrafficCore& core,
                                                base::TimePoint) {
    core.SetBalancers(set);
  });
}

void BalancerProcess::ShareLoad(base::TimePoint now) {
  std::vector<base::Endpoint> recipients;
  for (const auto& [id, entry] : m_membership->Peers().Entries()) {
    if (TrafficStateOf(entry) == flow::BalancerState::kServing)
      recipients.push_back(entry.m_record.m_peer);
  }
  const PeerLinkCounters& counters = m_peer_link->counters();
  const auto digest =
      m_load_sharer.NextDigest(recipients.size(), counters.m_bytes_sent, now);
  if (!digest)
    return;
  for (const base::Endpoint& recipient : recipients)
    m_peer_link->Send(recipient, MakePeerMessage(*digest));
  m_load_sharer.RecordSent(counters.m_bytes_sent);
}

peer::Message BalancerProcess::MakePeerMessage(peer::MessageBody body) const {
  peer::Message message;
  message.m_sender.m_id = m_id;
  message.m_sender.m_state = m_membership->Self().m_state;
  message.m_sender.m_incarnation = m_membership->Self().m_incarnation;
  message.m_sender.m_configuration.m_version = m_configuration->version();
  message.m_sender.m_holds_lease = m_membership->HoldsLease(base::Clock::now());
  message.m_body = std::move(body);
  return message;
}

void BalancerProcess::OnPeerRequest(const peer::Message& request,
                                    const PeerServer::ReplyCallback& callback) {
  if (std::holds_alternative<peer::DocumentRequest>(request.m_body))
    callback(MakePeerMessage(peer::DocumentReply{m_configuration->version(),
                                                 m_configuration->body()}));
  else if (const auto* burn = std::get_if<peer::BurnRequest>(&request.m_body))
    HandleBurnRequest(*burn, callback);
}

}  // namespace service
