#include "view_keeper.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "LibBase/milliseconds.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibEdge/store_pacing.h"
#include "boot_time.h"

namespace edge {

namespace {

using observability::Event;
using observability::Severity;
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

std::vector<steering::ServerRecord> RecordsOf(
    const std::vector<ServerEvent>& events) {
  std::vector<steering::ServerRecord> records;
  for (const ServerEvent& event : events) {
    if (event.m_record)
      records.push_back(*event.m_record);
  }
  return records;
}

catalog::OutageSource SourceOf(const StoreReader& reader) {
  return reader.collection() == adapter::Collection::kServers
             ? catalog::OutageSource::kServers
             : catalog::OutageSource::kManifests;
}

}  // namespace

ViewKeeper::ViewKeeper(asio::io_context& context,
                       const EdgeSettings& settings,
                       steering::Steering& steering,
                       observability::NonBlockingLog& log,
                       EdgeMetrics& metrics,
                       ChangeHandler on_change)
    : m_context(context),
      m_settings(settings),
      m_steering(steering),
      m_log(log),
      m_metrics(metrics),
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
      m_started_at(base::Clock::now()),
      m_last_sweep(BootTime()) {
  m_peers.SetPeers(settings.m_seeds);
}

base::Outcome<void> ViewKeeper::Listen() {
  if (!m_settings.m_feed)
    return base::Success();
  TRY(feed, FeedLink::Create(m_context, *m_settings.m_feed,
                             MakeFeedSettings(m_settings), DrawSeed(),
                             MakeFeedOwner()));
  m_feed = std::move(feed);
  return base::Success();
}

FeedOwner ViewKeeper::MakeFeedOwner() {
  FeedOwner owner;
  owner.m_status = [this](base::TimePoint now) { return Status(now); };
  owner.m_changes = [this](catalog::Revision since_servers,
                           catalog::Revision since_manifest) {
    return catalog::EncodeDelta(m_view.MakeDelta(
        since_servers, since_manifest, m_servers.watcher().KnownRevision(),
        m_manifests.watcher().KnownRevision()));
  };
  owner.m_apply = [this](base::Endpoint peer,
                         const catalog::ViewDelta& changes) {
    return ApplyChanges(peer, changes);
  };
  owner.m_on_reader_status = [this](const feed::StoreStatus& status) {
    OnReaderStatus(status);
  };
  owner.m_on_refused = [this](base::Endpoint peer, std::string_view reason) {
    OnFeedRefused(peer, reason);
  };
  owner.m_on_duty = [this](base::TimePoint now) { OnDuty(now); };
  return owner;
}

void ViewKeeper::Start() {
  if (m_feed) {
    m_feed->Start();
    return;
  }
  m_servers.SetActive(true);
  m_manifests.SetActive(true);
}

void ViewKeeper::Sweep(base::TimePoint now) {
  m_last_sweep = BootTime();
  m_steering.SetRoutesCurrent(AreRoutesCurrent(now));
  LogServerChanges(m_view.ApplyDueRemovals(now), "lapse");
}

void ViewKeeper::OnPaused(base::TimePoint now) {
  m_servers.RestartCall();
  m_manifests.RestartCall();
  if (m_feed)
    m_feed->OnPaused(now);
}

void ViewKeeper::Reconfigure(const EdgeSettings& settings) {
  const auto bound_feed = m_settings.m_feed;
  m_settings = settings;
  // The socket stays bound until the process restarts.
  m_settings.m_feed = bound_feed;
  m_servers.SetStore(settings.m_store);
  m_manifests.SetStore(settings.m_store);
  m_peers.SetPeers(settings.m_seeds);
  if (m_feed)
    m_feed->SetSettings(MakeFeedSettings(m_settings));
  OnDuty(base::Clock::now());
}

bool ViewKeeper::IsReader() const {
  return m_feed == nullptr || m_feed->member().IsReader();
}

feed::StoreStatus ViewKeeper::Status(base::TimePoint now) const {
  feed::StoreStatus status;
  const auto& servers = m_servers.watcher();
  const auto& manifests = m_manifests.watcher();
  status.m_is_current = m_servers.IsActive() && m_manifests.IsActive() &&
                        BootTime() - m_last_sweep < kMaximumSweepGap &&
                        servers.IsCurrent(now) && manifests.IsCurrent(now);
  status.m_is_failing = servers.FailingSince() || manifests.FailingSince();
  status.m_servers = servers.KnownRevision();
  status.m_manifest = manifests.KnownRevision();
  if (servers.ConfirmedAt() && manifests.ConfirmedAt())
    status.m_confirmed_age =
        now - std::min(*servers.ConfirmedAt(), *manifests.ConfirmedAt());
  const catalog::DelayedRemovals& removals = m_view.delayed_removals();
  status.m_is_in_outage = removals.IsInOutage();
  if (removals.OutageEndedAt())
    status.m_outage_ended_age = now - *removals.OutageEndedAt();
  return status;
}

// Applies the duty: whether the store is read, and how often.
void ViewKeeper::OnDuty(base::TimePoint now) {
  if (m_feed == nullptr) {
    m_servers.SetPolicy(MakeReaderPolicy(m_settings));
    m_manifests.SetPolicy(MakeReaderPolicy(m_settings));
    return;
  }
  const bool is_reader = m_feed->member().IsReader();
  if (is_reader != m_was_reader)
    LogDuty(is_reader, now);
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
  // One collection shows whether the store responds.
  const bool is_first_try =
      !is_reader && has_view && !m_servers.watcher().IsCurrent(now);
  m_manifests.SetActive(should_read && needs_call(m_manifests) &&
                        !is_first_try);
}

void ViewKeeper::LogDuty(bool is_reader, base::TimePoint now) {
  m_was_reader = is_reader;
  const Event event = is_reader ? Event::kReaderStarted : Event::kReaderStopped;
  if (m_log.Admit(event, now))
    m_log.Write(Severity::kInfo, event,
                {{"reason", NameOf(feed::kDutyReasonNames,
                                   m_feed->member().LastDutyReason())},
                 {"revision", m_servers.watcher().KnownRevision().value()}});
}

// While this balancer does not call the store, it knows of outages from the
// readers only.
void ViewKeeper::OnReaderStatus(const feed::StoreStatus& status) {
  const base::TimePoint now = base::Clock::now();
  if (status.m_confirmed_age)
    m_reader_confirmed_at = now - *status.m_confirmed_age;
  if (m_feed->member().ShouldReadStore(now))
    return;
  m_view.SetOutage(status.m_is_in_outage,
                   status.m_outage_ended_age
                       ? std::optional(now - *status.m_outage_ended_age)
                       : std::nullopt);
}

bool ViewKeeper::ApplyChanges(base::Endpoint peer,
                              const catalog::ViewDelta& changes) {
  const base::TimePoint now = base::Clock::now();
  if (changes.m_since > m_servers.watcher().KnownRevision())
    return false;
  if (m_servers.AdoptRevision(changes.m_servers_revision)) {
    const auto server_changes = m_view.ApplyServerDelta(changes, now);
    if (m_log.Admit(Event::kChangesReceived, now))
      m_log.Write(Severity::kInfo, Event::kChangesReceived,
                  {{"peer", ToString(peer)},
                   {"since", changes.m_since.value()},
                   {"revision", changes.m_servers_revision.value()},
                   {"servers", std::uint64_t{changes.m_servers.size()}},
                   {"removed", std::uint64_t{changes.m_removed_servers.size()}},
                   {"changed", std::uint64_t{server_changes.size()}}});
    for (const ServerChange& change : server_changes)
      m_metrics.CountServerChange(
          NameOf(steering::kDirectoryChangeNames, change.m_change));
  }
  if (changes.m_manifest)
    ApplyManifest(*changes.m_manifest, "peer");
  m_manifests.AdoptRevision(changes.m_manifest_revision);
  m_on_change();
  return true;
}

void ViewKeeper::OnFeedRefused(base::Endpoint peer, std::string_view reason) {
  m_metrics.CountFeedRefused(reason);
  if (m_log.Admit(Event::kFeedRefused, base::Clock::now()))
    m_log.Write(Severity::kWarning, Event::kFeedRefused,
                {{"peer", ToString(peer)}, {"reason", reason}});
}

ViewVersion ViewKeeper::Version(base::TimePoint now) const {
  ViewVersion version;
  version.m_servers_revision = m_servers.watcher().KnownRevision().value();
  const auto confirmed =
      std::max(m_servers.watcher().ConfirmedAt(), m_reader_confirmed_at);
  if (confirmed)
    version.m_servers_age = now - *confirmed;
  version.m_manifest_version = m_steering.routes().Version().value();
  return version;
}

bool ViewKeeper::AreRoutesCurrent(base::TimePoint now) const {
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

event_loop::TextResponse ViewKeeper::SnapshotResponse() {
  constexpr std::string_view kBinaryType = "application/octet-stream";
  const auto servers = m_servers.watcher().KnownRevision();
  const auto manifest = m_manifests.watcher().KnownRevision();
  if (servers == catalog::Revision() && manifest == catalog::Revision())
    return {503, "nothing known\n"};
  auto snapshot =
      catalog::EncodeSnapshot(m_view.MakeSnapshot(servers, manifest));
  if (!snapshot) {
    if (m_log.Admit(Event::kSnapshotFailed, base::Clock::now()))
      m_log.Write(Severity::kError, Event::kSnapshotFailed,
                  {{"reason", snapshot.error().message()},
                   {"revision", servers.value()}});
    return {503, "the belief does not fit a snapshot\n"};
  }
  return {200, std::move(snapshot).value(), kBinaryType};
}

void ViewKeeper::RequestSnapshotIfCutOff(base::TimePoint now) {
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
      has_failed_long(m_manifests))
    m_peers.RequestSnapshot();
}

void ViewKeeper::OnStoreUpdate(const StoreReader& reader,
                               const StoreUpdate& update) {
  const base::TimePoint now = base::Clock::now();
  const std::string_view collection =
      NameOf(adapter::kCollectionNames, reader.collection());
  const std::string_view result =
      update.m_failure ? NameOf(catalog::kCallFailureNames, *update.m_failure)
                       : "done";
  m_metrics.CountStoreCall(collection, result, update.m_call_time);
  if (update.m_failure && m_log.Admit(Event::kStoreCallFailed, now))
    m_log.Write(Severity::kWarning, Event::kStoreCallFailed,
                {{"collection", collection},
                 {"reason", result},
                 {"call_ms", base::WholeMilliseconds(update.m_call_time)},
                 {"revision", reader.watcher().KnownRevision().value()}});
  if (update.m_outcome.m_is_store_lost) {
    m_view.OnStoreLost(SourceOf(reader));
    m_log.Write(Severity::kWarning, Event::kStoreLost,
                {{"collection", collection},
                 {"reason", update.m_failure ? result : "late_answer"}});
  }
  if (update.m_outcome.m_is_store_regained) {
    m_view.OnStoreRegained(SourceOf(reader), now);
    m_log.Write(Severity::kInfo, Event::kStoreRegained,
                {{"collection", collection},
                 {"revision", reader.watcher().KnownRevision().value()}});
  }
  if (update.m_objects.m_ignored > 0 &&
      m_log.Admit(Event::kObjectsIgnored, now))
    m_log.Write(Severity::kWarning, Event::kObjectsIgnored,
                {{"collection", collection},
                 {"objects", std::uint64_t{update.m_objects.m_ignored}},
                 {"reason", "a necessary field is missing or unusable"}});
  LogFieldProblems(update.m_objects.m_problems, collection, now);
  if (reader.collection() == adapter::Collection::kServers)
    OnServers(update, now);
  else
    OnManifests(update, now);
  m_on_change();
  // The next call is not sent if this balancer is not to read the store.
  if (m_feed)
    m_feed->Advance();
}

void ViewKeeper::OnServers(const StoreUpdate& update, base::TimePoint now) {
  if (update.m_outcome.m_update == catalog::CollectionUpdate::kChanged) {
    LogServerChanges(
        m_view.ApplyServerEvents(update.m_objects.m_servers,
                                 m_servers.watcher().KnownRevision(), now),
        "store");
    return;
  }
  if (update.m_outcome.m_update != catalog::CollectionUpdate::kListComplete)
    return;
  const auto records = RecordsOf(update.m_objects.m_servers);
  const catalog::Revision revision = m_servers.watcher().KnownRevision();
  m_log.Write(Severity::kInfo, Event::kServersListed,
              {{"servers", std::uint64_t{records.size()}},
               {"revision", revision.value()}});
  const bool is_first_view = !m_steering.HasRoutesAndServers();
  const ServerChanges changes = m_view.ApplyServerList(records, revision, now);
  // The line above tells what the first list contains. Right after a start,
  // callers wait for the processor time of a line for each server.
  if (!is_first_view)
    LogServerChanges(changes, "store");
}

void ViewKeeper::OnManifests(const StoreUpdate& update, base::TimePoint now) {
  for (const adapter::DecodedManifest& decoded : update.m_objects.m_manifests) {
    // A version that is read again is not reported again.
    if (ApplyManifest(decoded.m_manifest, "store"))
      LogFieldProblems(
          decoded.m_problems,
          NameOf(adapter::kCollectionNames, adapter::Collection::kManifests),
          now);
  }
}

void ViewKeeper::OnSnapshot(base::Endpoint peer,
                            const base::Outcome<catalog::Snapshot>& snapshot) {
  const base::TimePoint now = base::Clock::now();
  if (!snapshot) {
    if (m_log.Admit(Event::kSnapshotFailed, now))
      m_log.Write(
          Severity::kWarning, Event::kSnapshotFailed,
          {{"peer", ToString(peer)}, {"reason", snapshot.error().message()}});
    return;
  }
  const catalog::Snapshot& decoded = snapshot.value();
  if (m_servers.AdoptRevision(decoded.m_servers_revision)) {
    m_log.Write(Severity::kInfo, Event::kSnapshotTaken,
                {{"peer", ToString(peer)},
                 {"servers", std::uint64_t{decoded.m_servers.size()}},
                 {"revision", decoded.m_servers_revision.value()}});
    LogServerChanges(m_view.ApplyServerList(decoded.m_servers,
                                            decoded.m_servers_revision, now),
                     "peer");
  }
  m_manifests.AdoptRevision(decoded.m_manifest_revision);
  if (decoded.m_manifest.m_version != base::ConfigurationVersion())
    ApplyManifest(decoded.m_manifest, "peer");
  m_on_change();
}

bool ViewKeeper::ApplyManifest(const steering::Manifest& manifest,
                               std::string_view source) {
  const auto previous_version = m_steering.routes().Version();
  if (!m_view.ApplyManifest(manifest))
    return false;
  m_log.Write(Severity::kInfo, Event::kConfigurationInForce,
              {{"manifest", manifest.m_version.value()},
               {"former", previous_version.value()},
               {"routes", std::uint64_t{manifest.m_routes.size()}},
               {"source", source}});
  return true;
}

void ViewKeeper::LogFieldProblems(const adapter::FieldProblems& problems,
                                  std::string_view collection,
                                  base::TimePoint now) {
  for (const adapter::FieldProblem& problem : problems.list()) {
    const std::string_view consequence =
        NameOf(adapter::kConsequenceNames, problem.m_consequence);
    m_metrics.CountFieldProblem(problem.m_field, consequence);
    if (!m_log.Admit(Event::kFieldUnusable, now))
      continue;
    m_log.Write(Severity::kWarning, Event::kFieldUnusable,
                {{"collection", collection},
                 {"object", problem.m_object},
                 {"route", problem.m_route},
                 {"field", problem.m_field},
                 {"value", problem.m_value},
                 {"consequence", consequence},
                 {"manifest", m_steering.routes().Version().value()}});
  }
  if (problems.Omitted() > 0 && m_log.Admit(Event::kFieldUnusable, now))
    m_log.Write(Severity::kWarning, Event::kFieldUnusable,
                {{"collection", collection},
                 {"omitted", std::uint64_t{problems.Omitted()}}});
}

void ViewKeeper::LogServerChanges(const ServerChanges& changes,
                                  std::string_view source) {
  const base::TimePoint now = base::Clock::now();
  for (const ServerChange& change : changes) {
    const std::string_view name =
        NameOf(steering::kDirectoryChangeNames, change.m_change);
    m_metrics.CountServerChange(name);
    if (!m_log.Admit(Event::kServerChanged, now))
      continue;
    m_log.Write(Severity::kInfo, Event::kServerChanged,
                {{"change", name},
                 {"server", change.m_record.m_name.value()},
                 {"service", change.m_record.m_service},
                 {"endpoint", ToString(change.m_record.m_endpoint)},
                 {"data_centre", change.m_record.m_data_centre.value()},
                 {"incarnation", change.m_record.m_incarnation},
                 {"record_revision", change.m_record.m_revision},
                 {"revision", m_servers.watcher().KnownRevision().value()},
                 {"source", source}});
  }
}

}  // namespace edge
