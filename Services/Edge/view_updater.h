// Updates the balancer's view of the store: reads the store, or follows the
// peers that read it, and logs what changes.

#ifndef SERVICES_EDGE_VIEW_UPDATER_H_
#define SERVICES_EDGE_VIEW_UPDATER_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/outcome.h"
#include "LibBase/time.h"
#include "LibEdge/edge_settings.h"
#include "LibEdge/load_collector.h"
#include "LibEdge/store_view.h"
#include "LibEdge/suspension_detector.h"
#include "LibEventLoop/http_text_server.h"
#include "LibLoadExchange/load_exchange.h"
#include "LibObservability/non_blocking_log.h"
#include "LibSteering/steering.h"
#include "decision_log.h"
#include "edge_metrics.h"
#include "feed_link.h"
#include "peer_reader.h"
#include "store_reader.h"
#include "view_log.h"

namespace edge {

class ViewUpdater {
 public:
  // Called after the view may have changed.
  using ChangeHandler = std::function<void()>;

  // The references must outlive the updater.
  ViewUpdater(asio::io_context& context,
              const EdgeSettings& settings,
              steering::Steering& steering,
              observability::NonBlockingLog& log,
              EdgeMetrics& metrics,
              ChangeHandler on_change);
  ViewUpdater(const ViewUpdater&) = delete;
  ViewUpdater& operator=(const ViewUpdater&) = delete;

  // Queries.
  ViewVersion Version(base::TimePoint now) const;
  // The view contains all changes made before this time; nothing if that is not
  // known of any time.
  std::optional<base::TimePoint> ViewCurrentAsOf() const;
  // Whether the routes are known to be the newest.
  bool AreRoutesCurrent(base::TimePoint now) const;
  // Whether this balancer reads the store for its peers.
  bool IsReader() const;
  // Whether this balancer exchanges its load with others.
  bool ExchangesLoad() const { return m_exchanges_load; }
  // The load of the fleet. Empty if the balancers do not exchange their load.
  const load_exchange::FleetLoad& Fleet() const { return m_load.fleet(); }
  std::uint64_t StoreCalls() const {
    return m_servers.Calls() + m_manifests.Calls() +
           (m_evacuations ? m_evacuations->Calls() : 0);
  }
  // The bytes of response bodies of the store and of peers received so far.
  std::uint64_t ReceivedBodyBytes() const {
    return m_servers.ReceivedBodyBytes() + m_manifests.ReceivedBodyBytes() +
           (m_evacuations ? m_evacuations->ReceivedBodyBytes() : 0) +
           m_former_evacuation_bytes + m_peers.ReceivedBodyBytes() +
           (m_feed ? m_feed->ReceivedBodyBytes() : 0);
  }

  // Commands.
  // Binds the feed's endpoint, if there is one. Errors are those of the system.
  base::Outcome<void> Listen(const std::optional<base::Endpoint>& endpoint);
  void Start();
  // Must be called several times a second.
  void Sweep(base::TimePoint now);
  // Requests a snapshot of a seed if the store fails and no reader is current,
  // or if the store has lost a manifest that a peer has in force.
  // To be called at the interval of these requests.
  void RequestSnapshotIfCutOff(base::TimePoint now);
  // A newer view may allow the flow of a packet: the packet has the token of a
  // server that is not known, or the view denies the flow. In the second case
  // the view has to contain all changes made before `needed_as_of`.
  void RequestNewerView(std::optional<base::TimePoint> needed_as_of,
                        base::TimePoint now);
  // The process was paused: the view may be outdated, and the connections of
  // open calls may be dead.
  void OnPaused(base::TimePoint now);
  void Reconfigure(const EdgeSettings& settings);
  // Responds to a peer that requests a snapshot.
  event_loop::TextResponse SnapshotResponse();

 private:
  FeedOwner MakeFeedOwner();
  void ConnectLoadExchange(FeedOwner& owner);
  // Applies the settings and the manifest in force to the load exchange.
  void UpdateLoadExchange();
  feed::StoreStatus Status(base::TimePoint now) const;
  // The same as ViewCurrentAsOf, by this balancer's own calls alone.
  std::optional<base::TimePoint> OwnViewCurrentAsOf() const;
  // Has the store confirm that the view contains all changes made before
  // `needed_as_of`.
  void RequestConfirmation(base::TimePoint needed_as_of);
  // Drops what the age of the view rests on if the machine was suspended.
  void CheckForSuspension(base::TimePoint now);
  // Ends the pauses between the calls to the store.
  void EndPauses(base::TimePoint now);
  // The view may contain all changes up to a later time than before.
  void OnViewConfirmed();
  void ApplyRole(base::TimePoint now);
  void OnReaderStatus(const feed::StoreStatus& status);
  // A peer's servers at `revision` are to replace those known at `former`.
  void OnServersAdopted(catalog::Revision former,
                        catalog::Revision revision,
                        base::TimePoint now);
  // Starts or ceases to use evacuations, as the settings require.
  void UpdateEvacuationUse();
  // Applies a peer's evacuations if they are needed and newer than the known.
  void AdoptEvacuations(const catalog::Evacuations& evacuations,
                        base::TimePoint now);
  // Lets openings pass without the evacuations if they remain unknown.
  void LimitWaitForEvacuations(base::TimePoint now);
  // Returns false if the changes do not follow the view.
  bool ApplyChanges(base::Endpoint peer, const catalog::ViewDelta& changes);

  void OnStoreUpdate(const StoreReader& reader, const StoreUpdate& update);
  void OnServers(const StoreUpdate& update, base::TimePoint now);
  void OnManifests(const StoreUpdate& update, base::TimePoint now);
  void OnEvacuations(const StoreUpdate& update, base::TimePoint now);
  void OnSnapshot(base::Endpoint peer,
                  const base::Outcome<catalog::Snapshot>& snapshot);
  // Returns whether the manifest is newer than the one in force.
  bool ApplyManifest(const steering::Manifest& manifest,
                     std::string_view source);

  asio::io_context& m_context;
  EdgeSettings m_settings;
  steering::Steering& m_steering;
  ViewLog m_log;
  ChangeHandler m_on_change;
  StoreView m_view;
  StoreReader m_servers;
  StoreReader m_manifests;
  // Null if the settings have no bound on evacuations.
  std::unique_ptr<StoreReader> m_evacuations;
  // The bytes that former readers of the evacuations received.
  std::uint64_t m_former_evacuation_bytes = 0;
  PeerReader m_peers;
  // Null if the settings have no endpoint for the feed.
  std::unique_ptr<FeedLink> m_feed;
  load_exchange::LoadExchange m_load;
  LoadCollector m_load_collector;
  bool m_exchanges_load = false;
  bool m_was_reader = false;
  // The time up to which the view of m_confirming_reader, which was adopted or
  // equals this balancer's, contains all changes.
  std::optional<base::TimePoint> m_fed_view_current_as_of;
  base::Ipv4Address m_confirming_reader;
  std::optional<base::TimePoint> m_pauses_ended_at;
  base::TimePoint m_started_at;
  // When the first view was complete but for the evacuations.
  std::optional<base::TimePoint> m_waits_for_evacuations_since;
  SuspensionDetector m_suspension;
  // By the boot-time clock, which advances while the process is paused.
  base::Duration m_last_sweep{};
};

}  // namespace edge

#endif  // SERVICES_EDGE_VIEW_UPDATER_H_
