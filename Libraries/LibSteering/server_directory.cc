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

std::vector<KnownServer*> ServerDirectory::ExpiredServersOf(
    std::string_view service,
    base::TimePoint since) const {
  std::vector<KnownServer*> expired;
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
  return static_cast<std::size_t>(std::count_if(
      m_servers.begin(), m_servers.end(), [state](const auto& entry) {
        return !entry.second->IsGone() &&
               entry.second->m_record.m_state == state;
      }));
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
  for (const auto& [name, server] : m_servers) {
    if (!server->IsGone())
      ++counts[server->m_record.m_data_centre];
  }
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
  const bool was_listed = !is_new && !was_gone;
  const bool is_moved = was_listed && previous.m_service != record.m_service;
  if (is_moved)
    UnlistFromService(*server);
  server->m_record = record;
  server->m_warm_up_ends_at = now + record.m_warm_up_left;
  server->m_gone_since.reset();
  server->m_is_evacuated = m_evacuated.contains(record.m_data_centre);
  if (is_moved || !was_listed)
    ListUnderService(*server);
  const bool is_restarted = previous.m_incarnation != record.m_incarnation;
  // Earlier observations don't apply to a server that registered again.
  if (was_gone || is_restarted) {
    server->m_reachability = ServerReachability();
    server->m_answer_statistics = AnswerStatistics();
    server->m_slow_answers = SlowAnswerEvidence();
    server->m_shared_evidence = SharedEvidence();
  }
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

void ServerDirectory::PurgeGoneServers(base::TimePoint now) {
  for (auto entry = m_servers.begin(); entry != m_servers.end();) {
    const KnownServer& server = *entry->second;
    if (!server.IsGone() || now - *server.m_gone_since < kGoneServerRetention) {
      ++entry;
      continue;
    }
    RemoveTokens(server);
    m_by_handle.erase(server.m_handle.value());
    entry = m_servers.erase(entry);
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

void ServerDirectory::UnlistFromService(const KnownServer& server) {
  const auto found = m_by_service.find(server.m_record.m_service);
  if (found == m_by_service.end())
    return;
  std::erase(found->second, &server);
  if (found->second.empty())
    m_by_service.erase(found);
}

void ServerDirectory::RemoveTokens(const KnownServer& server) {
  std::erase_if(m_by_token, [&server](const auto& entry) {
    return entry.second == &server;
  });
}

}  // namespace steering
