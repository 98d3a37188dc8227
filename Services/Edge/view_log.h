// Writes the log lines and counts the metrics about the balancer's view of the
// store.

#ifndef SERVICES_EDGE_VIEW_LOG_H_
#define SERVICES_EDGE_VIEW_LOG_H_

#include <string_view>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibCatalog/revision.h"
#include "LibCatalog/view_delta.h"
#include "LibEdge/store_view.h"
#include "LibFeed/feed_member.h"
#include "LibLoadExchange/load_exchange.h"
#include "LibObservability/non_blocking_log.h"
#include "edge_metrics.h"
#include "store_reader.h"

namespace edge {

class ViewLog {
 public:
  // The references must outlive the log.
  ViewLog(observability::NonBlockingLog& log, EdgeMetrics& metrics)
      : m_log(log), m_metrics(metrics) {}

  // Commands.
  // The result of a call of `reader`, except the objects.
  void WriteStoreCall(const StoreReader& reader,
                      const StoreUpdate& update,
                      base::TimePoint now);
  // `source` is the collection that was listed, or peer.
  void WriteStoreRestored(catalog::Revision former,
                          catalog::Revision revision,
                          std::string_view source);
  // `source` is store, peer or lapse; `revision` is that of the view.
  void WriteServerChanges(const ServerChanges& changes,
                          catalog::Revision revision,
                          std::string_view source,
                          base::TimePoint now);
  // `manifest` is the version in force.
  void WriteFieldProblems(const adapter::FieldProblems& problems,
                          adapter::Collection collection,
                          base::ConfigurationVersion manifest,
                          base::TimePoint now);
  void WriteServersListed(std::size_t servers, const StoreReader& reader);
  void WriteManifest(const steering::Manifest& manifest,
                     base::ConfigurationVersion former,
                     std::string_view source);
  // `source` is store, peer or settings; `revision` is that of the view.
  void WriteEvacuations(const EvacuationChanges& changes,
                        catalog::Revision revision,
                        std::string_view source,
                        base::TimePoint now);
  // The balancer has become a reader, or has ceased to be one.
  void WriteRole(const feed::FeedMember& member,
                 catalog::Revision revision,
                 base::TimePoint now);
  // Changes of a peer were applied, with the effect `changes`.
  void WriteChangesReceived(base::Endpoint peer,
                            const catalog::ViewDelta& delta,
                            const ServerChanges& changes,
                            base::TimePoint now);
  void WriteFeedRefused(base::Endpoint peer,
                        std::string_view reason,
                        base::TimePoint now);
  // The load of a peer's message was accepted or not.
  void WriteLoad(base::Endpoint peer,
                 load_exchange::LoadResult result,
                 base::TimePoint now);
  void WriteSnapshotTaken(base::Endpoint peer,
                          std::size_t servers,
                          catalog::Revision revision);
  // A peer's snapshot could not be read, or one for a peer not be made; then
  // `peer` is the zero endpoint.
  void WriteSnapshotFailed(base::Endpoint peer,
                           std::string_view reason,
                           base::TimePoint now);

 private:
  observability::NonBlockingLog& m_log;
  EdgeMetrics& m_metrics;
};

}  // namespace edge

#endif  // SERVICES_EDGE_VIEW_LOG_H_
