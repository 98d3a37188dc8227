#include "view_updater.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "LibCatalog/snapshot_codec.h"
#include "LibEdge/store_pacing.h"
#include "boot_time.h"

namespace edge {

namespace {

using std::chrono::milliseconds;

// When calls to the store have failed for this long, or the balancer has no
// view this long after its start, the balancer requests snapshots from seeds.
constexpr base::Duration kStoreFailureGrace = milliseconds(500);
// The routes count as current for this long after the store or a reader
// confirmed them. While they are current, an opening without a route is
// refused.
constexpr base::Duration kRoutesCurrentFor = milliseconds(1500);
// A process that has not swept for this long was paused, and does not know
// what happened meanwhile.
constexpr base::Duration kMaximumSweepGap = milliseconds(500);

std::uint64_t DrawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

// Nothing for the evacuations: a kind that some deployments lack must not delay
// the removal of servers.
std::optional<catalog::OutageSource> SourceOf(const StoreReader& reader) {
  switch (reader.collection()) {
    case adapter::Collection::kServers:
      return catalog::OutageSource::kServers;
    case adapter::Collection::kManifests:
      return catalog::OutageSource::kManifests;
    case adapter::Collection::kEvacuations:
      break;
  }
  return std::nullopt;
}

}  // namespace

ViewUpdater::ViewUpdater(asio::io_context& context,
                         const EdgeSettings& settings,
                         steering::Steering& steering,
                         observability::NonBlockingLog& log,
                         EdgeMetrics& metrics,
                         ChangeHandler on_change)
    : m_context(context),
      m_settings(settings),
      m_steering(steering),
      m_log(log, metrics),
      m_on_change(std::move(on_change)),
      m_view(steering),
      m_servers(context,
                settings.m_store,
                adapter::Collection::kServers,
                MakeReaderPolicy(settings),
                DrawSeed(),
                [this](const StoreUpdate& update) {
                  OnStoreUpdate(m_servers, update);
                }),
      m_manifests(context,
                  settings.m_store,
                  adapter::Collection::kManifests,
                  MakeReaderPolicy(settings),
                  DrawSeed(),
                  [this](const StoreUpdate& update) {
                    OnStoreUpdate(m_manifests, update);
                  }),
      m_peers(context,
              [this](base::Endpoint peer,
                     const base::Outcome<catalog::Snapshot>& snapshot) {
                OnSnapshot(peer, snapshot);
              }),
      m_load(settings.m_feed.value_or(base::Endpoint()).m_address,
             settings.m_data_centre),
      m_load_collector(settings.m_data_centre, DrawSeed()),
      m_started_at(base::Clock::now()),
      m_suspension(SuspendedTime()),
      m_last_sweep(BootTime()) {
  m_peers.SetPeers(settings.m_seeds);
  UpdateEvacuationUse();
  m_steering.SetAwaitsEvacuations(m_evacuations != nullptr);
  UpdateLoadExchange();
}

base::Outcome<void> ViewUpdater::Listen(
    const std::optional<base::Endpoint>& endpoint) {
  m_settings.m_feed = endpoint;
  UpdateLoadExchange();
  if (!m_settings.m_feed)
    return base::Success();
  TRY(feed, FeedLink::Create(m_context, *m_settings.m_feed,
                             MakeFeedSettings(m_settings), DrawSeed(),
                             MakeFeedOwner()));
  m_feed = std::move(feed);
  return base::Success();
}

FeedOwner ViewUpdater::MakeFeedOwner() {
  FeedOwner owner;
  owner.m_status = [this](base::TimePoint now) { return Status(now); };
  owner.m_changes = [this](const catalog::KnownView& since) {
    return catalog::EncodeDelta(
        m_view.MakeDelta(since, m_servers.watcher().KnownRevision(),
                         m_manifests.watcher().KnownRevision()));
  };
  owner.m_apply = [this](base::Endpoint peer,
                         const catalog::ViewDelta& changes) {
    return ApplyChanges(peer, changes);
  };
  owner.m_on_reader_status = [this](const feed::StoreStatus& status) {
    OnReaderStatus(status);
  };
  owner.m_on_fed = [this](base::Endpoint reader,
                          base::TimePoint current_as_of) {
    if (m_fed_view_current_as_of < current_as_of) {
      m_fed_view_current_as_of = current_as_of;
      m_confirming_reader = reader.m_address;
    }
    OnViewConfirmed();
  };
  owner.m_on_refused = [this](base::Endpoint peer, std::string_view reason) {
    m_log.WriteFeedRefused(peer, reason, base::Clock::now());
  };
  owner.m_confirm_view = [this](base::TimePoint needed_as_of) {
    RequestConfirmation(needed_as_of);
  };
  owner.m_on_role = [this](base::TimePoint now) { ApplyRole(now); };
  ConnectLoadExchange(owner);
  return owner;
}

void ViewUpdater::ConnectLoadExchange(FeedOwner& owner) {
  owner.m_request_load = [this](bool is_reader, base::TimePoint now) {
    return m_exchanges_load
               ? m_load.MakeRequestLoad(
                     m_load_collector.Report(m_steering, m_load.fleet(), now),
                     is_reader, now)
               : std::string();
  };
  owner.m_response_load = [this](bool is_reader, base::TimePoint now) {
    return m_exchanges_load
               ? m_load.MakeResponseLoad(
                     m_load_collector.Report(m_steering, m_load.fleet(), now),
                     is_reader, now)
               : std::string();
  };
  owner.m_on_request_load = [this](base::Endpoint peer, std::string_view load,
                                   bool is_reader, base::TimePoint now) {
    if (m_exchanges_load)
      m_log.WriteLoad(
          peer, m_load.AcceptRequestLoad(peer.m_address, load, is_reader, now),
          now);
  };
  owner.m_on_response_load = [this](base::Endpoint peer, std::string_view load,
                                    base::TimePoint now) {
    if (m_exchanges_load)
      m_log.WriteLoad(peer, m_load.AcceptResponseLoad(load, now), now);
  };
}

void ViewUpdater::UpdateLoadExchange() {
  m_steering.warm_up().SetLimits(
      {m_settings.m_warm_up_overrun, m_settings.m_warm_up_slack});
  m_exchanges_load =
      m_settings.m_feed &&
      edge::ExchangesLoad(m_settings, m_steering.routes().manifest());
}

void ViewUpdater::Start() {
  m_started_at = base::Clock::now();
  if (m_feed) {
    m_feed->Start();
    return;
  }
  m_servers.SetActive(true);
  m_manifests.SetActive(true);
  if (m_evacuations)
    m_evacuations->SetActive(true);
}

void ViewUpdater::Sweep(base::TimePoint now) {
  m_last_sweep = BootTime();
  CheckForSuspension(now);
  if (m_exchanges_load) {
    m_load.Sweep(m_load_collector.Report(m_steering, m_load.fleet(), now),
                 IsReader(), now);
    m_load_collector.Apply(m_load.fleet(), m_steering, now);
  }
  m_steering.SetRoutesCurrent(AreRoutesCurrent(now));
  m_steering.SetViewCurrentAsOf(ViewCurrentAsOf());
  m_log.WriteServerChanges(m_view.ApplyDueRemovals(now),
                           m_servers.watcher().KnownRevision(), "lapse", now);
  LimitWaitForEvacuations(now);
}

void ViewUpdater::CheckForSuspension(base::TimePoint now) {
  const base::Duration suspended = SuspendedTime();
  if (!m_suspension.WasSuspended(suspended))
    return;
  m_suspension.Reset(suspended);
  m_servers.HandleSuspension(now);
  m_manifests.HandleSuspension(now);
}

void ViewUpdater::OnViewConfirmed() {
  m_steering.SetViewCurrentAsOf(ViewCurrentAsOf());
  m_on_change();
}

void ViewUpdater::OnPaused(base::TimePoint now) {
  m_servers.RestartCall();
  m_manifests.RestartCall();
  if (m_evacuations)
    m_evacuations->RestartCall();
  if (m_feed)
    m_feed->OnPaused(now);
}

void ViewUpdater::Reconfigure(const EdgeSettings& settings) {
  const auto bound_feed = m_settings.m_feed;
  m_settings = settings;
  // The socket stays bound until the process restarts.
  m_settings.m_feed = bound_feed;
  m_servers.SetStore(settings.m_store);
  m_manifests.SetStore(settings.m_store);
  if (m_evacuations)
    m_evacuations->SetStore(settings.m_store);
  UpdateEvacuationUse();
  m_peers.SetPeers(settings.m_seeds);
  if (m_feed)
    m_feed->SetSettings(MakeFeedSettings(m_settings));
  UpdateLoadExchange();
  ApplyRole(base::Clock::now());
}

bool ViewUpdater::IsReader() const {
  return m_feed == nullptr || m_feed->member().IsReader();
}

feed::StoreStatus ViewUpdater::Status(base::TimePoint now) const {
  feed::StoreStatus status;
  const auto& servers = m_servers.watcher();
  const auto& manifests = m_manifests.watcher();
  status.m_is_current = m_servers.IsActive() && m_manifests.IsActive() &&
                        BootTime() - m_last_sweep < kMaximumSweepGap &&
                        servers.IsCurrent(now) && manifests.IsCurrent(now);
  if (m_evacuations) {
    status.m_needs_evacuations = true;
    status.m_evacuations = m_evacuations->watcher().KnownRevision();
    status.m_is_current = status.m_is_current && m_evacuations->IsActive() &&
                          m_evacuations->watcher().IsCurrent(now);
  }
  status.m_is_failing = servers.FailingSince() || manifests.FailingSince();
  if (const auto progress = servers.ListProgressAt())
    status.m_list_progress_age = now - *progress;
  status.m_servers = servers.KnownRevision();
  status.m_manifest = manifests.KnownRevision();
  status.m_manifest_version = m_steering.routes().Version();
  const auto current_as_of = OwnViewCurrentAsOf();
  // Until the next sweep, a suspension is missing from the age.
  if (current_as_of && !m_suspension.WasSuspended(SuspendedTime()))
    status.m_view_age = now - *current_as_of;
  const catalog::DelayedRemovals& removals = m_view.delayed_removals();
  status.m_is_in_outage = removals.IsInOutage();
  if (removals.OutageEndedAt())
    status.m_outage_ended_age = now - *removals.OutageEndedAt();
  return status;
}

// Applies the member's role: whether the store is read, and how often.
void ViewUpdater::ApplyRole(base::TimePoint now) {
  if (m_feed == nullptr) {
    m_servers.SetPolicy(MakeReaderPolicy(m_settings));
    m_manifests.SetPolicy(MakeReaderPolicy(m_settings));
    if (m_evacuations) {
      m_evacuations->SetPolicy(MakeReaderPolicy(m_settings));
      m_evacuations->SetActive(m_servers.IsActive());
    }
    return;
  }
  const bool is_reader = m_feed->member().IsReader();
  if (is_reader != m_was_reader)
    m_log.WriteRole(m_feed->member(), m_servers.watcher().KnownRevision(), now);
  m_was_reader = is_reader;
  const bool has_view = Status(now).HasView();
  const auto policy = is_reader || !has_view ? MakeReaderPolicy(m_settings)
                                             : MakeFallbackPolicy(m_settings);
  m_servers.SetPolicy(policy);
  m_manifests.SetPolicy(policy);
  const bool should_read = m_feed->member().ShouldReadStore(now);
  // Before the view is complete, what is known of a collection need not be
  // watched: a reader may follow soon.
  const auto needs_call = [&](const StoreReader& reader) {
    return is_reader || has_view ||
           reader.watcher().KnownRevision() == catalog::Revision();
  };
  m_servers.SetActive(should_read && needs_call(m_servers));
  // One collection shows whether the store responds. Unusable answers to it
  // must not delay the other one.
  const bool is_first_try = !is_reader && has_view &&
                            !m_servers.watcher().IsCurrent(now) &&
                            !m_servers.IsAnswerUnusable();
  m_manifests.SetActive(should_read && needs_call(m_manifests) &&
                        !is_first_try);
  if (!m_evacuations)
    return;
  m_evacuations->SetPolicy(policy);
  m_evacuations->SetActive(should_read && needs_call(*m_evacuations) &&
                           !is_first_try);
}

// While this balancer does not call the store, it knows of outages from the
// readers only.
void ViewUpdater::OnReaderStatus(const feed::StoreStatus& status) {
  const base::TimePoint now = base::Clock::now();
  if (m_feed->member().ShouldReadStore(now))
    return;
  m_view.SetOutage(status.m_is_in_outage,
                   status.m_outage_ended_age
                       ? std::optional(now - *status.m_outage_ended_age)
                       : std::nullopt);
}

void ViewUpdater::OnServersAdopted(catalog::Revision former,
                                   catalog::Revision revision,
                                   base::TimePoint now) {
  if (former == catalog::Revision() || revision.era() == former.era())
    return;
  m_log.WriteStoreRestored(former, revision, "peer");
  m_view.OnStoreRestored(now);
}

bool ViewUpdater::ApplyChanges(base::Endpoint peer,
                               const catalog::ViewDelta& changes) {
  const base::TimePoint now = base::Clock::now();
  if (changes.m_since > m_servers.watcher().KnownRevision())
    return false;
  const catalog::Revision former = m_servers.watcher().KnownRevision();
  if (m_servers.AdoptRevision(changes.m_servers_revision)) {
    OnServersAdopted(former, changes.m_servers_revision, now);
    m_log.WriteChangesReceived(peer, changes,
                               m_view.ApplyServerDelta(changes, now), now);
  }
  if (changes.m_manifest)
    ApplyManifest(*changes.m_manifest, "peer");
  m_manifests.AdoptRevision(changes.m_manifest_revision);
  if (changes.m_evacuations)
    AdoptEvacuations(*changes.m_evacuations, now);
  m_on_change();
  return true;
}

ViewVersion ViewUpdater::Version(base::TimePoint now) const {
  ViewVersion version;
  const catalog::Revision servers = m_servers.watcher().KnownRevision();
  version.m_store_era =
      std::max(servers, m_manifests.watcher().KnownRevision()).era().value();
  version.m_servers_revision = servers.number();
  if (const auto current_as_of = ViewCurrentAsOf())
    version.m_view_age = now - *current_as_of;
  if (OwnViewCurrentAsOf() < m_fed_view_current_as_of)
    version.m_confirmed_by = m_confirming_reader;
  version.m_manifest_version = m_steering.routes().Version().value();
  return version;
}

std::optional<base::TimePoint> ViewUpdater::OwnViewCurrentAsOf() const {
  // An empty optional is less than any time.
  return std::min(m_servers.watcher().CurrentAsOf(),
                  m_manifests.watcher().CurrentAsOf());
}

std::optional<base::TimePoint> ViewUpdater::ViewCurrentAsOf() const {
  return std::max(OwnViewCurrentAsOf(), m_fed_view_current_as_of);
}

void ViewUpdater::RequestNewerView(std::optional<base::TimePoint> needed_as_of,
                                   base::TimePoint now) {
  if (IsReader() && needed_as_of)
    RequestConfirmation(*needed_as_of);
  else if (IsReader())
    EndPauses(now);
  if (m_feed)
    m_feed->RequestChanges(needed_as_of, now);
}

void ViewUpdater::RequestConfirmation(base::TimePoint needed_as_of) {
  m_servers.RequestConfirmation(needed_as_of);
  m_manifests.RequestConfirmation(needed_as_of);
}

void ViewUpdater::EndPauses(base::TimePoint now) {
  // Packets with a wrong token must not cause a call each.
  constexpr base::Duration kInterval = milliseconds(100);
  if (m_pauses_ended_at && now - *m_pauses_ended_at < kInterval)
    return;
  m_pauses_ended_at = now;
  m_servers.EndPause();
  m_manifests.EndPause();
}

bool ViewUpdater::AreRoutesCurrent(base::TimePoint now) const {
  const auto fed_at = m_feed ? m_feed->member().FedAt() : std::nullopt;
  if (fed_at && now - *fed_at < kRoutesCurrentFor)
    return true;
  const auto& watcher = m_manifests.watcher();
  if (watcher.FailingSince())
    return false;
  const auto confirmed = watcher.ConfirmedAt();
  return watcher.IsWatching() ||
         (confirmed && now - *confirmed < kRoutesCurrentFor);
}

event_loop::TextResponse ViewUpdater::SnapshotResponse() {
  constexpr std::string_view kBinaryType = "application/octet-stream";
  const auto servers = m_servers.watcher().KnownRevision();
  const auto manifest = m_manifests.watcher().KnownRevision();
  if (servers == catalog::Revision() && manifest == catalog::Revision())
    return {503, "nothing known\n"};
  auto snapshot =
      catalog::EncodeSnapshot(m_view.MakeSnapshot(servers, manifest));
  if (!snapshot) {
    m_log.WriteSnapshotFailed({}, snapshot.error().message(),
                              base::Clock::now());
    return {503, "the view does not fit into a snapshot\n"};
  }
  return {200, std::move(snapshot).value(), kBinaryType};
}

void ViewUpdater::RequestSnapshotIfCutOff(base::TimePoint now) {
  if (m_feed && m_feed->member().IsManifestLost(Status(now), now)) {
    m_peers.RequestSnapshot();
    return;
  }
  if (m_feed && m_feed->member().IsFed(now))
    return;
  const auto has_failed_long = [now](const StoreReader& reader) {
    const auto failing = reader.watcher().FailingSince();
    return reader.IsActive() && failing && now - *failing >= kStoreFailureGrace;
  };
  // With the feed, a balancer whose store responds waits for its own list or
  // for a reader: a seed cannot send its whole view to a fleet that starts.
  const bool is_slow_start = m_feed == nullptr && !m_steering.IsReady() &&
                             now - m_started_at >= kStoreFailureGrace;
  if (is_slow_start || has_failed_long(m_servers) ||
      has_failed_long(m_manifests) ||
      (m_evacuations && has_failed_long(*m_evacuations)))
    m_peers.RequestSnapshot();
}

void ViewUpdater::OnStoreUpdate(const StoreReader& reader,
                                const StoreUpdate& update) {
  const base::TimePoint now = base::Clock::now();
  m_log.WriteStoreCall(reader, update, now);
  const auto source = SourceOf(reader);
  if (source && update.m_outcome.m_is_store_lost)
    m_view.OnStoreLost(*source);
  if (source && update.m_outcome.m_is_store_regained)
    m_view.OnStoreRegained(*source, now);
  m_log.WriteFieldProblems(update.m_objects.m_problems, reader.collection(),
                           m_steering.routes().Version(), now);
  switch (reader.collection()) {
    case adapter::Collection::kServers:
      OnServers(update, now);
      break;
    case adapter::Collection::kManifests:
      OnManifests(update, now);
      break;
    case adapter::Collection::kEvacuations:
      OnEvacuations(update, now);
      break;
  }
  OnViewConfirmed();
  // The next call is not sent if this balancer is not to read the store.
  if (m_feed)
    m_feed->Advance();
}

void ViewUpdater::OnServers(const StoreUpdate& update, base::TimePoint now) {
  const catalog::Revision revision = m_servers.watcher().KnownRevision();
  const auto& servers = update.m_objects.m_servers;
  const bool is_list =
      update.m_outcome.m_update == catalog::CollectionUpdate::kListComplete;
  if (is_list)
    m_log.WriteServersListed(servers.size(), m_servers);
  const bool is_first_view = !m_steering.AreServersComplete();
  const ServerChanges changes = m_view.ApplyServerUpdate(
      update.m_outcome.m_update, servers, revision, now);
  // The line above tells what the first list contains. Right after a start,
  // callers wait for the processor time of a line for each server.
  if (!is_list || !is_first_view)
    m_log.WriteServerChanges(changes, revision, "store", now);
}

void ViewUpdater::OnManifests(const StoreUpdate& update, base::TimePoint now) {
  for (const adapter::DecodedManifest& decoded : update.m_objects.m_manifests) {
    // A version that is read again is not reported again.
    if (ApplyManifest(decoded.m_manifest, "store"))
      m_log.WriteFieldProblems(decoded.m_problems,
                               adapter::Collection::kManifests,
                               m_steering.routes().Version(), now);
  }
}

void ViewUpdater::OnSnapshot(base::Endpoint peer,
                             const base::Outcome<catalog::Snapshot>& snapshot) {
  const base::TimePoint now = base::Clock::now();
  if (!snapshot) {
    m_log.WriteSnapshotFailed(peer, snapshot.error().message(), now);
    return;
  }
  const catalog::Snapshot& decoded = snapshot.value();
  const catalog::Revision former = m_servers.watcher().KnownRevision();
  if (m_servers.AdoptRevision(decoded.m_servers_revision)) {
    OnServersAdopted(former, decoded.m_servers_revision, now);
    m_log.WriteSnapshotTaken(peer, decoded.m_servers.size(),
                             decoded.m_servers_revision);
    m_log.WriteServerChanges(
        m_view.ApplyServerList(decoded.m_servers, decoded.m_servers_revision,
                               now),
        decoded.m_servers_revision, "peer", now);
  }
  m_manifests.AdoptRevision(decoded.m_manifest_revision);
  if (decoded.m_manifest.m_version != base::ConfigurationVersion())
    ApplyManifest(decoded.m_manifest, "peer");
  AdoptEvacuations(decoded.m_evacuations, now);
  m_on_change();
}

bool ViewUpdater::ApplyManifest(const steering::Manifest& manifest,
                                std::string_view source) {
  const auto former = m_steering.routes().Version();
  if (!m_view.ApplyManifest(manifest))
    return false;
  m_log.WriteManifest(manifest, former, source);
  UpdateLoadExchange();
  return true;
}

}  // namespace edge
