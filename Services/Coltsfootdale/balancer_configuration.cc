// Configuration handling of a balancer: renews the lease on the version in
// force, applies new documents and pulls documents from peers.

#include <memory>
#include <optional>
#include <utility>

#include "LibObservability/log.h"
#include "LibPeer/document_request.h"
#include "LibPlatform/configuration_watcher.h"
#include "LibPlatform/configuration_watcher_driver.h"
#include "balancer_process.h"

namespace service {

namespace {

using observability::Event;
using observability::Severity;
using observability::WriteLog;

}  // namespace

void BalancerProcess::RenewLease(base::TimePoint now) {
  if (m_configuration->version() == base::ConfigurationVersion())
    return;
  m_membership->SetConfiguration(
      m_configuration->version(),
      m_configuration_watcher->watcher().ConfirmedAt());
  const auto expires = m_lease.Renew(
      CollectLeaseEvidence(*m_membership, m_lease.MaximumEvidenceAge(), now),
      now);
  if (expires.has_value() != m_has_lease) {
    m_has_lease = expires.has_value();
    const auto newest = m_membership->NewestKnownConfiguration(now).m_version;
    WriteLog(m_has_lease ? Severity::kInfo : Severity::kWarning,
             m_has_lease ? Event::kLeaseRegained : Event::kLeaseLapsed,
             {{"version", m_configuration->version().value()},
              {"newest_known_version", newest.value()}});
  }
  if (!expires)
    return;
  m_membership->SetLease(*expires);
  m_traffic->Post(
      [until = *expires](balancer::TrafficCore& core, base::TimePoint) {
        core.SetLease(until);
      });
}

bool BalancerProcess::OnDocument(base::ConfigurationVersion version,
                                 const std::string& body) {
  if (!m_configuration->Apply(version, body, base::Clock::now()))
    return false;
  m_load_poller->SetServers(m_configuration->PolledServers());
  SetBurnDocument(m_configuration->document());
  // Membership announces the new version to the peers at once.
  m_membership->SetConfiguration(
      version, m_configuration_watcher->watcher().ConfirmedAt());
  return true;
}

void BalancerProcess::ReportPeerConfirmation(base::TimePoint now) {
  const auto age =
      m_membership->NewestKnownConfiguration(now).m_confirmation_age;
  if (!age)
    return;
  m_configuration_watcher->Handle(
      platform::VersionConfirmed{m_configuration->version(), now - *age});
}

void BalancerProcess::OnPull(const platform::PullFromPeer& pull) {
  const membership::MemberEntry* entry =
      m_membership->Peers().Find(pull.m_peer);
  const auto source =
      entry != nullptr
          ? std::optional(entry->m_record.m_peer)
          : m_membership->NewestKnownConfiguration(base::Clock::now()).m_source;
  if (!source || !m_settings.m_mechanisms.m_pull_from_peers) {
    m_configuration_watcher->Handle(platform::PeerPullFailed{pull.m_peer});
    return;
  }
  m_document_puller.Pull(
      *source, MakePeerMessage(peer::DocumentRequest{pull.m_version}),
      [this, peer = pull.m_peer](std::optional<peer::DocumentReply> reply) {
        if (!reply || reply->m_version == base::ConfigurationVersion()) {
          m_configuration_watcher->Handle(platform::PeerPullFailed{peer});
          return;
        }
        m_configuration_watcher->Handle(platform::PeerDocument{
            peer, reply->m_version,
            std::make_shared<const std::string>(std::move(reply->m_body))});
      });
}

}  // namespace service
