// What a balancer does with its peers: membership, pulls and load counts.

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibFlow/balancer_set.h"
#include "LibMembership/vm_entry.h"
#include "LibObservability/log.h"
#include "LibPeer/document_request.h"
#include "LibPlatform/configuration_follower.h"
#include "LibPlatform/follower_driver.h"
#include "LibPlatform/vm_poller.h"
#include "balancer_process.h"

namespace service {

namespace {

using observability::Event;
using observability::Severity;
using observability::WriteLog;
using std::chrono::milliseconds;

// How a peer takes part in traffic; nothing if it does not.
std::optional<flow::BalancerState> RoutedStateOf(
    const membership::MemberEntry& entry) {
  switch (entry.m_record.m_state) {
    case peer::MemberState::kLeaving:
      return flow::BalancerState::kLeaving;
    case peer::MemberState::kServing:
    case peer::MemberState::kSuspected:
      if (!entry.m_has_served)
        return std::nullopt;
      return entry.m_suspected_since ? flow::BalancerState::kSuspected
                                     : flow::BalancerState::kServing;
    case peer::MemberState::kJoining:
    case peer::MemberState::kDead:
      break;
  }
  return std::nullopt;
}

}  // namespace

void BalancerProcess::AdvanceMembership(base::TimePoint now) {
  m_membership->SetConfiguration(m_configuration->version(),
                                 m_follower->follower().ConfirmedAt());
  Take(m_membership->Advance(now, m_random));
  TellFollower(now);
  PublishBalancers();
}

void BalancerProcess::Take(const membership::Effects& effects) {
  const base::Overloaded visitor{
      [this](const membership::SendMessage& send) {
        m_peer_link->Send(send.m_to, send.m_message);
      },
      [](const membership::MemberCame& came) {
        WriteLog(Severity::kInfo, Event::kPeerJoined,
                 {{"peer", came.m_record.m_name}});
      },
      [](const membership::MemberChanged& changed) {
        if (changed.m_record.m_state == peer::MemberState::kSuspected)
          WriteLog(Severity::kWarning, Event::kPeerSuspected,
                   {{"peer", changed.m_record.m_name}});
      },
      [](const membership::MemberGone& gone) {
        WriteLog(Severity::kInfo, Event::kPeerLeft,
                 {{"peer", gone.m_record.m_name}});
      },
      [](const membership::LiveMembersChanged&) {},
      [](const membership::Paused& paused) {
        WriteLog(Severity::kWarning, Event::kLeaseLapsed,
                 {{"paused_ms",
                   std::chrono::duration_cast<milliseconds>(paused.m_duration)
                       .count()}});
      }};
  for (const membership::Effect& effect : effects)
    std::visit(visitor, effect);
}

void BalancerProcess::OnPeerMessage(base::Endpoint from,
                                    const peer::Message& message) {
  Take(m_membership->ReceiveMessage(from, message, base::Clock::now()));
  if (const auto* digest = std::get_if<peer::LoadDigest>(&message.m_body))
    m_load_sharer.Receive(message.m_sender.m_id, *digest);
  if (const auto* watch = std::get_if<peer::FlowWatch>(&message.m_body))
    OnFlowWatch(message.m_sender.m_id, *watch);
  if (const auto* reply = std::get_if<peer::FlowWatchReply>(&message.m_body))
    OnFlowWatchReply(message.m_sender.m_id, *reply);
  m_follower->Handle(platform::PeerDigest{
      message.m_sender.m_id, message.m_sender.m_configuration.m_version,
      std::nullopt});
}

void BalancerProcess::TellFollower(base::TimePoint now) {
  const auto age =
      m_membership->NewestKnownConfiguration(now).m_confirmation_age;
  if (!age)
    return;
  m_follower->Handle(
      platform::VersionConfirmed{m_configuration->version(), now - *age});
}

void BalancerProcess::OnVms(const std::vector<platform::VmRecord>& vms) {
  m_has_vm_list = true;
  std::vector<membership::VmEntry> entries;
  entries.reserve(vms.size());
  for (const platform::VmRecord& vm : vms)
    entries.push_back({vm.m_name, vm.m_data_centre,
                       vm.m_state == platform::VmState::kLive
                           ? membership::VmState::kLive
                           : membership::VmState::kLeaving,
                       vm.m_traffic, vm.m_peer, vm.m_admin});
  Take(m_membership->ReceiveVmList(entries, base::Clock::now()));
}

void BalancerProcess::PublishBalancers() {
  std::vector<flow::Balancer> balancers{{m_id, m_traffic->LocalEndpoint(),
                                         m_phase == ProcessPhase::kLeaving
                                             ? flow::BalancerState::kLeaving
                                             : flow::BalancerState::kServing}};
  platform::LivePeersChanged peers;
  for (const auto& [id, entry] : m_membership->Peers().Entries()) {
    const auto state = RoutedStateOf(entry);
    if (!state)
      continue;
    balancers.push_back({id, entry.m_record.m_traffic, *state});
    if (*state == flow::BalancerState::kServing)
      peers.m_peers.push_back(id);
  }
  if (balancers == m_published_balancers)
    return;
  m_published_balancers = balancers;
  m_load_sharer.Retain(*m_membership->Snapshot());
  m_follower->Handle(peers);
  m_traffic->Post(
      [set = std::make_shared<flow::BalancerSet>(m_id, std::move(balancers))](
          balancer::TrafficCore& core, base::TimePoint) {
        core.SetBalancers(set);
      });
}

void BalancerProcess::ShareLoad(base::TimePoint now) {
  std::vector<base::Endpoint> recipients;
  for (const auto& [id, entry] : m_membership->Peers().Entries()) {
    if (RoutedStateOf(entry) == flow::BalancerState::kServing)
      recipients.push_back(entry.m_record.m_peer);
  }
  const auto digest = m_load_sharer.Next(recipients.size(), now);
  if (!digest)
    return;
  for (const base::Endpoint& recipient : recipients)
    m_peer_link->Send(recipient, MakePeerMessage(*digest));
}

peer::Message BalancerProcess::MakePeerMessage(peer::MessageBody body) const {
  peer::Message message;
  message.m_sender.m_id = m_id;
  message.m_sender.m_state = m_membership->Self().m_state;
  message.m_sender.m_incarnation = m_membership->Self().m_incarnation;
  message.m_sender.m_configuration.m_version = m_configuration->version();
  message.m_body = std::move(body);
  return message;
}

void BalancerProcess::OnPull(const platform::PullFromPeer& pull) {
  const membership::MemberEntry* entry =
      m_membership->Peers().Find(pull.m_peer);
  const auto source =
      entry != nullptr
          ? std::optional(entry->m_record.m_peer)
          : m_membership->NewestKnownConfiguration(base::Clock::now()).m_source;
  if (!source || !m_settings.m_mechanisms.m_pull_from_peers) {
    m_follower->Handle(platform::PeerPullFailed{pull.m_peer});
    return;
  }
  m_document_puller.Pull(
      *source, MakePeerMessage(peer::DocumentRequest{pull.m_version}),
      [this, peer = pull.m_peer](std::optional<peer::DocumentReply> reply) {
        if (!reply || reply->m_version == base::ConfigurationVersion()) {
          m_follower->Handle(platform::PeerPullFailed{peer});
          return;
        }
        m_follower->Handle(platform::PeerDocument{
            peer, reply->m_version,
            std::make_shared<const std::string>(std::move(reply->m_body))});
      });
}

}  // namespace service
