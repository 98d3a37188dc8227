#include "LibSteering/server_directory.h"

#include <algorithm>
#include <tuple>

namespace steering {

KnownServer* ServerDirectory::FindByToken(FlowToken token) const {
  const auto [begin, end] = m_by_token.equal_range(token.value());
  if (begin == end || std::next(begin) != end)
    return nullptr;
  return begin->second;
}

KnownServer* ServerDirectory::FindByName(const ServerName& name) const {
  const auto found = m_servers.find(name);
  return found == m_servers.end() ? nullptr : found->second.get();
}

KnownServer* ServerDirectory::FindByHandle(ServerHandle handle) const {
  const auto found = m_by_handle.find(handle.value());
  return found == m_by_handle.end() ? nullptr : found->second;
}

const std::vector<KnownServer*>& ServerDirectory::ServersOf(
    std::string_view service) const {
  static const std::vector<KnownServer*> none;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? none : found->second;
}

ServiceTotals ServerDirectory::TotalsOf(std::string_view service) const {
  const auto found = m_indices.find(service);
  return found == m_indices.end() ? ServiceTotals()
                                  : found->second.Totals(m_evacuated);
}

bool ServerDirectory::HasPlaceableOutside(std::string_view service,
                                          const base::DataCentreId& own) const {
  const auto found = m_indices.find(service);
  return found != m_indices.end() &&
         found->second.HasPlaceableOutside(own, m_evacuated);
}

std::optional<std::vector<KnownServer*>> ServerDirectory::SampleOf(
    std::string_view service,
    const SampleOptions& options,
    base::Random& random) const {
  if (ServersOf(service).size() <= kMaximumScannedServers)
    return std::nullopt;
  return m_indices.find(service)->second.Sample(options, m_evacuated, random);
}

std::vector<KnownServer*> ServerDirectory::ExpiredServersOf(
    std::string_view service,
    base::TimePoint since) const {
  std::vector<KnownServer*> expired;
  // Called for each opening that no registered server can get.
  if (m_last_removal_at < since)
    return expired;
  for (const auto& [name, server] : m_servers) {
    if (server->HasExpired() && *server->m_gone_since >= since &&
        server->m_record.m_service == service)
      expired.push_back(server.get());
  }
  return expired;
}

std::optional<FlowToken> ServerDirectory::UniqueTokenOf(
    const KnownServer& server) const {
  for (const FlowToken token : server.m_tokens) {
    if (m_by_token.count(token.value()) == 1)
      return token;
  }
  return std::nullopt;
}

std::vector<ServerName> ServerDirectory::RegisteredNames() const {
  std::vector<ServerName> names;
  for (const auto& [name, server] : m_servers) {
    if (!server->IsGone())
      names.push_back(name);
  }
  return names;
}

std::vector<ServerRecord> ServerDirectory::RecordsNewerThan(
    base::StoreRevision revision) const {
  std::vector<ServerRecord> records;
  for (const auto& [name, server] : m_servers) {
    const base::StoreRevision own = server->m_record.m_revision;
    if (!server->IsGone() && (own.number() == 0 || own > revision))
      records.push_back(server->m_record);
  }
  return records;
}

std::size_t ServerDirectory::Count(ServerState state) const {
  std::size_t registered = 0;
  std::size_t ready = 0;
  for (const auto& [service, index] : m_indices) {
    const ServiceTotals totals = index.Totals(m_evacuated);
    registered += totals.m_registered;
    ready += totals.m_ready;
  }
  return state == ServerState::kReady ? ready : registered - ready;
}

bool ServerDirectory::HasReachableServer() const {
  return std::any_of(m_servers.begin(), m_servers.end(), [](const auto& entry) {
    return entry.second->AcceptsOpenings() &&
           !entry.second->m_reachability.IsUnreachable();
  });
}

std::map<base::DataCentreId, std::size_t> ServerDirectory::CountByDataCentre()
    const {
  std::map<base::DataCentreId, std::size_t> counts;
  for (const auto& [service, index] : m_indices)
    index.AddRegistered(counts);
  return counts;
}

std::optional<base::TimePoint> ServerDirectory::EvacuationEndedAt(
    const base::DataCentreId& data_centre) const {
  const auto found = m_evacuation_ends.find(data_centre);
  return found == m_evacuation_ends.end() ? std::nullopt
                                          : std::optional(found->second);
}

bool ServerDirectory::WasWrittenBefore(const ServerRecord& left,
                                       const ServerRecord& right) {
  // Without an incarnation, a restarted server whose sequence starts again
  // cannot be told apart.
  if (left.m_incarnation == 0 || right.m_incarnation == 0)
    return false;
  return std::tie(left.m_incarnation, left.m_sequence) <
         std::tie(right.m_incarnation, right.m_sequence);
}

bool ServerDirectory::IsOlder(const ServerRecord& record,
                              const KnownServer& server) {
  const ServerRecord& known = server.m_record;
  const base::StoreRevision revision = record.m_revision;
  if (revision.era() == known.m_revision.era())
    return revision < known.m_revision;
  if (revision.era() < known.m_revision.era())
    return !WasWrittenBefore(known, record);
  const bool is_rewritten =
      revision.era() == server.m_outdated_revision.era() &&
      revision > server.m_outdated_revision;
  return !is_rewritten && WasWrittenBefore(record, known);
}

DirectoryChange ServerDirectory::Apply(const ServerRecord& record,
                                       base::TimePoint now) {
  KnownServer* server = FindByName(record.m_name);
  const bool is_new = server == nullptr;
  if (is_new)
    server = &Insert(record);
  const ServerRecord previous = server->m_record;
  const bool was_gone = server->IsGone();
  if (!is_new && IsOlder(record, *server)) {
    if (record.m_revision.era() > server->m_outdated_revision.era())
      server->m_outdated_revision = record.m_revision;
    return DirectoryChange::kNone;
  }

  // Removing a server from the list of its service takes time in proportion to
  // the list, and a whole view contains a record of each server.
  const bool is_registered = !is_new && !was_gone;
  const bool keeps_place =
      is_registered && previous.m_service == record.m_service;
  if (is_registered)
    RemoveFromIndex(*server);
  if (is_registered && !keeps_place)
    UnlistFromService(*server);
  server->m_record = record;
  server->m_warm_up_ends_at = now + record.m_warm_up_left;
  server->m_gone_since.reset();
  server->m_is_evacuated = m_evacuated.contains(record.m_data_centre);
  if (!keeps_place)
    ListUnderService(*server);
  const bool is_restarted = previous.m_incarnation != record.m_incarnation;
  // Earlier observations don't apply to a server that registered again.
  if (was_gone || is_restarted) {
    server->m_reachability = ServerReachability();
    server->m_answer_statistics = AnswerStatistics();
    server->m_slow_answers = SlowAnswerEvidence();
    server->m_shared_evidence = SharedEvidence();
  }
  m_indices[record.m_service].Add(*server);
  if (is_new ? m_has_first_list : is_restarted)
    server->m_started_at = now;
  if (is_new || was_gone)
    return DirectoryChange::kAdded;
  if (is_restarted)
    return DirectoryChange::kRestarted;
  if (previous.m_state == record.m_state)
    return DirectoryChange::kNone;
  return record.m_state == ServerState::kDraining ? DirectoryChange::kDraining
                                                  : DirectoryChange::kReady;
}

DirectoryChange ServerDirectory::Remove(const ServerName& name,
                                        base::TimePoint now) {
  KnownServer* server = FindByName(name);
  if (server == nullptr || server->IsGone())
    return DirectoryChange::kNone;
  server->m_gone_since = now;
  m_gone.emplace_back(now, name);
  m_last_removal_at = std::max(m_last_removal_at, now);
  RemoveFromIndex(*server);
  UnlistFromService(*server);
  return DirectoryChange::kGone;
}

void ServerDirectory::SetEvacuated(std::set<base::DataCentreId> evacuated,
                                   base::TimePoint now) {
  for (const base::DataCentreId& former : m_evacuated) {
    if (!evacuated.contains(former))
      m_evacuation_ends[former] = now;
  }
  while (m_evacuation_ends.size() > kMaximumEvacuationEnds)
    m_evacuation_ends.erase(std::ranges::min_element(
        m_evacuation_ends, {}, [](const auto& entry) { return entry.second; }));
  m_evacuated = std::move(evacuated);
  for (const auto& [name, server] : m_servers)
    server->m_is_evacuated =
        m_evacuated.contains(server->m_record.m_data_centre);
}

void ServerDirectory::UpdateIndex(KnownServer& server) {
  if (server.m_index_entry.m_servers != nullptr)
    server.m_index_entry.m_servers->Update(server);
}

void ServerDirectory::PurgeGoneServers(base::TimePoint now) {
  while (!m_gone.empty() &&
         now - m_gone.front().first >= kGoneServerRetention) {
    const auto [gone_since, name] = std::move(m_gone.front());
    m_gone.pop_front();
    const auto entry = m_servers.find(name);
    // The server may have registered again since.
    if (entry == m_servers.end() || entry->second->m_gone_since != gone_since)
      continue;
    RemoveTokens(*entry->second);
    m_by_handle.erase(entry->second->m_handle.value());
    m_servers.erase(entry);
  }
}

KnownServer& ServerDirectory::Insert(const ServerRecord& record) {
  auto owned = std::make_unique<KnownServer>();
  KnownServer& server = *owned;
  server.m_handle = ServerHandle(m_next_handle++);
  server.m_record = record;
  server.m_tokens = TokensOf(record.m_name);
  for (const FlowToken token : server.m_tokens)
    m_by_token.emplace(token.value(), &server);
  m_by_handle.emplace(server.m_handle.value(), &server);
  m_servers.emplace(record.m_name, std::move(owned));
  return server;
}

void ServerDirectory::ListUnderService(KnownServer& server) {
  std::vector<KnownServer*>& listed = m_by_service[server.m_record.m_service];
  const auto position =
      std::lower_bound(listed.begin(), listed.end(), server.m_record.m_name,
                       [](const KnownServer* other, const ServerName& name) {
                         return other->m_record.m_name < name;
                       });
  listed.insert(position, &server);
}

void ServerDirectory::RemoveFromIndex(KnownServer& server) {
  const auto index = m_indices.find(server.m_record.m_service);
  index->second.Remove(server);
  if (index->second.IsEmpty())
    m_indices.erase(index);
}

void ServerDirectory::UnlistFromService(const KnownServer& server) {
  const auto found = m_by_service.find(server.m_record.m_service);
  std::erase(found->second, &server);
  if (found->second.empty())
    m_by_service.erase(found);
}

void ServerDirectory::RemoveTokens(const KnownServer& server) {
  for (const FlowToken token : server.m_tokens) {
    const auto [begin, end] = m_by_token.equal_range(token.value());
    const auto found = std::find_if(begin, end, [&server](const auto& entry) {
      return entry.second == &server;
    });
    if (found != end)
      m_by_token.erase(found);
  }
}

}  // namespace steering
