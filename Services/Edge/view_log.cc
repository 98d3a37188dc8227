#include "view_log.h"

#include <cstdint>

#include "LibBase/milliseconds.h"

namespace edge {

using observability::Event;
using observability::Severity;

void ViewLog::WriteStoreCall(const StoreReader& reader,
                             const StoreUpdate& update,
                             base::TimePoint now) {
  const std::string_view collection =
      NameOf(adapter::kCollectionNames, reader.collection());
  const auto& failure = update.m_outcome.m_failure;
  const std::string_view result =
      failure ? NameOf(catalog::kCallFailureNames, *failure) : "done";
  const std::uint64_t revision = reader.watcher().KnownRevision().number();
  m_metrics.CountStoreCall(collection, result, update.m_call_time);
  if (failure && m_log.Admit(Event::kStoreCallFailed, now))
    m_log.Write(Severity::kWarning, Event::kStoreCallFailed,
                {{"collection", collection},
                 {"reason", result},
                 {"call_ms", base::WholeMilliseconds(update.m_call_time)},
                 {"revision", revision}});
  if (update.m_outcome.m_is_store_lost)
    m_log.Write(Severity::kWarning, Event::kStoreLost,
                {{"collection", collection},
                 {"reason", failure ? result : "late_answer"}});
  if (update.m_outcome.m_is_store_regained)
    m_log.Write(Severity::kInfo, Event::kStoreRegained,
                {{"collection", collection},
                 {"revision", revision},
                 {"era", reader.watcher().KnownRevision().era().value()}});
  if (update.m_outcome.m_is_store_restored)
    WriteStoreRestored(update.m_former_revision,
                       reader.watcher().KnownRevision(), collection);
  if (update.m_objects.m_ignored > 0 &&
      m_log.Admit(Event::kObjectsIgnored, now))
    m_log.Write(Severity::kWarning, Event::kObjectsIgnored,
                {{"collection", collection},
                 {"objects", std::uint64_t{update.m_objects.m_ignored}},
                 {"reason", "a necessary field is missing or unusable"}});
}

void ViewLog::WriteStoreRestored(catalog::Revision former,
                                 catalog::Revision revision,
                                 std::string_view source) {
  m_log.Write(Severity::kWarning, Event::kStoreRestored,
              {{"source", source},
               {"former_era", former.era().value()},
               {"era", revision.era().value()},
               {"former_revision", former.number()},
               {"revision", revision.number()}});
}

void ViewLog::WriteServerChanges(const ServerChanges& changes,
                                 catalog::Revision revision,
                                 std::string_view source,
                                 base::TimePoint now) {
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
                 {"record_revision", change.m_record.m_revision.number()},
                 {"revision", revision.number()},
                 {"source", source}});
  }
}

void ViewLog::WriteFieldProblems(const adapter::FieldProblems& problems,
                                 adapter::Collection collection,
                                 base::ConfigurationVersion manifest,
                                 base::TimePoint now) {
  const std::string_view collection_name =
      NameOf(adapter::kCollectionNames, collection);
  for (const adapter::FieldProblem& problem : problems.list()) {
    const std::string_view consequence =
        NameOf(adapter::kConsequenceNames, problem.m_consequence);
    m_metrics.CountFieldProblem(problem.m_field, consequence);
    if (!m_log.Admit(Event::kFieldUnusable, now))
      continue;
    m_log.Write(Severity::kWarning, Event::kFieldUnusable,
                {{"collection", collection_name},
                 {"object", problem.m_object},
                 {"route", problem.m_route},
                 {"field", problem.m_field},
                 {"value", problem.m_value},
                 {"consequence", consequence},
                 {"manifest", manifest.value()}});
  }
  if (problems.Omitted() > 0 && m_log.Admit(Event::kFieldUnusable, now))
    m_log.Write(Severity::kWarning, Event::kFieldUnusable,
                {{"collection", collection_name},
                 {"omitted", std::uint64_t{problems.Omitted()}}});
}

void ViewLog::WriteServersListed(std::size_t servers,
                                 const StoreReader& reader) {
  m_log.Write(Severity::kInfo, Event::kServersListed,
              {{"servers", std::uint64_t{servers}},
               {"revision", reader.watcher().KnownRevision().number()},
               {"era", reader.watcher().KnownRevision().era().value()}});
}

void ViewLog::WriteManifest(const steering::Manifest& manifest,
                            base::ConfigurationVersion former,
                            std::string_view source) {
  m_log.Write(Severity::kInfo, Event::kConfigurationInForce,
              {{"manifest", manifest.m_version.value()},
               {"former", former.value()},
               {"routes", std::uint64_t{manifest.m_routes.size()}},
               {"source", source}});
}

void ViewLog::WriteEvacuations(const EvacuationChanges& changes,
                               catalog::Revision revision,
                               std::string_view source,
                               base::TimePoint now) {
  for (const EvacuationChange& change : changes) {
    const Event event = change.m_has_started ? Event::kEvacuationStarted
                                             : Event::kEvacuationEnded;
    if (m_log.Admit(event, now))
      m_log.Write(Severity::kWarning, event,
                  {{"data_centre", change.m_data_centre.value()},
                   {"servers", std::uint64_t{change.m_servers}},
                   {"revision", revision.number()},
                   {"source", source}});
  }
}

void ViewLog::WriteRole(const feed::FeedMember& member,
                        catalog::Revision revision,
                        base::TimePoint now) {
  const Event event =
      member.IsReader() ? Event::kReaderStarted : Event::kReaderStopped;
  if (m_log.Admit(event, now))
    m_log.Write(
        Severity::kInfo, event,
        {{"reason", NameOf(feed::kRoleReasonNames, member.LastRoleReason())},
         {"revision", revision.number()}});
}

void ViewLog::WriteChangesReceived(base::Endpoint peer,
                                   const catalog::ViewDelta& delta,
                                   const ServerChanges& changes,
                                   base::TimePoint now) {
  for (const ServerChange& change : changes)
    m_metrics.CountServerChange(
        NameOf(steering::kDirectoryChangeNames, change.m_change));
  if (m_log.Admit(Event::kChangesReceived, now))
    m_log.Write(Severity::kInfo, Event::kChangesReceived,
                {{"peer", ToString(peer)},
                 {"since", delta.m_since.number()},
                 {"revision", delta.m_servers_revision.number()},
                 {"servers", std::uint64_t{delta.m_servers.size()}},
                 {"removed", std::uint64_t{delta.m_removed_servers.size()}},
                 {"changed", std::uint64_t{changes.size()}},
                 {"manifest_revision", delta.m_manifest_revision.number()},
                 {"manifest",
                  delta.m_manifest ? delta.m_manifest->m_version.value() : 0}});
}

void ViewLog::WriteFeedRefused(base::Endpoint peer,
                               std::string_view reason,
                               base::TimePoint now) {
  m_metrics.CountFeedRefused(reason);
  if (m_log.Admit(Event::kFeedRefused, now))
    m_log.Write(Severity::kWarning, Event::kFeedRefused,
                {{"peer", ToString(peer)}, {"reason", reason}});
}

void ViewLog::WriteLoad(base::Endpoint peer,
                        load_exchange::LoadResult result,
                        base::TimePoint now) {
  using load_exchange::LoadResult;
  const std::string_view name = NameOf(load_exchange::kLoadResultNames, result);
  m_metrics.CountLoad(name);
  const bool is_fault =
      result == LoadResult::kMalformed || result == LoadResult::kRefused;
  if (is_fault && m_log.Admit(Event::kLoadRefused, now))
    m_log.Write(Severity::kWarning, Event::kLoadRefused,
                {{"peer", ToString(peer)}, {"reason", name}});
}

void ViewLog::WriteSnapshotTaken(base::Endpoint peer,
                                 std::size_t servers,
                                 catalog::Revision revision) {
  m_log.Write(Severity::kInfo, Event::kSnapshotTaken,
              {{"peer", ToString(peer)},
               {"servers", std::uint64_t{servers}},
               {"revision", revision.number()}});
}

void ViewLog::WriteSnapshotFailed(base::Endpoint peer,
                                  std::string_view reason,
                                  base::TimePoint now) {
  if (m_log.Admit(Event::kSnapshotFailed, now))
    m_log.Write(Severity::kWarning, Event::kSnapshotFailed,
                {{"peer", ToString(peer)}, {"reason", reason}});
}

}  // namespace edge
