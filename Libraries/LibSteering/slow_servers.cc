#include "LibSteering/slow_servers.h"

#include <algorithm>
#include <utility>

#include "LibSteering/data_centre_servers.h"

namespace steering {

double SlowServers::LoadOf(std::string_view service,
                           base::TimePoint now) const {
  const auto found = m_references.find(service);
  if (found == m_references.end())
    return 0;
  double load = 0;
  for (const auto& [address, reference] : found->second) {
    if (now - reference.LastAnswer() <= kLoadAge)
      load = std::max(load, reference.Load());
  }
  return load;
}

std::vector<KnownServer*> SlowServers::WithoutSlow(
    std::span<KnownServer* const> servers,
    base::TimePoint now) const {
  std::vector<KnownServer*> sound(servers.begin(), servers.end());
  if (servers.size() < kMinimumServers)
    return sound;
  std::size_t avoidable =
      std::max<std::size_t>(1, servers.size() / kAvoidableShare);
  for (const SlowServer& slow : m_slow) {
    const auto found =
        std::ranges::find(sound, slow.m_server, &KnownServer::m_handle);
    if (found == sound.end() || !(*found)->m_slow_answers.IsSlow(now))
      continue;
    sound.erase(found);
    if (--avoidable == 0)
      break;
  }
  return sound;
}

void SlowServers::RecordAnswer(KnownServer& server,
                               base::Endpoint address,
                               base::Duration answer_time,
                               base::TimePoint now) {
  AnswerReference* reference = ReferenceOf(server.m_record.m_service, address);
  if (reference == nullptr)
    return;
  const auto is_slow = reference->IsSlow(answer_time);
  reference->Add(answer_time, now);
  if (!is_slow)
    return;
  server.m_slow_answers.Record(*is_slow, reference->SlowShare(), now);
  const bool is_listed =
      std::ranges::any_of(m_slow, [&server](const SlowServer& slow) {
        return slow.m_server == server.m_handle;
      });
  if (is_listed || !server.m_slow_answers.IsSlow(now))
    return;
  m_slow.push_back({server.m_handle});
  m_changes.push_back({server.m_handle, true});
}

KnownServer* SlowServers::CountOpening(
    const std::function<KnownServer*(ServerHandle)>& find,
    std::string_view service,
    base::TimePoint now) {
  KnownServer* due = nullptr;
  for (SlowServer& slow : m_slow) {
    KnownServer* server = find(slow.m_server);
    if (server == nullptr || server->IsGone() ||
        server->m_record.m_service != service)
      continue;
    ++slow.m_openings_since_trial;
    // Openings go to the servers of a data centre about evenly.
    const std::size_t in_data_centre =
        server->m_index_entry.m_servers->Registered();
    if (due != nullptr || !server->m_slow_answers.IsSlow(now) ||
        slow.m_openings_since_trial < kTrialShare * in_data_centre)
      continue;
    slow.m_openings_since_trial = 0;
    due = server;
  }
  return due;
}

void SlowServers::Sweep(const std::function<KnownServer*(ServerHandle)>& find,
                        base::TimePoint now) {
  std::erase_if(m_slow, [&](const SlowServer& slow) {
    const KnownServer* server = find(slow.m_server);
    if (server != nullptr && server->m_slow_answers.IsSlow(now))
      return false;
    if (server != nullptr)
      m_changes.push_back({slow.m_server, false});
    return true;
  });
  for (auto& [service, references] : m_references)
    m_reference_count -= std::erase_if(references, [now](const auto& entry) {
      return now - entry.second.LastAnswer() > kReferenceRetention;
    });
  std::erase_if(m_references,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<SlowServerChange> SlowServers::TakeChanges() {
  return std::exchange(m_changes, {});
}

AnswerReference* SlowServers::ReferenceOf(const std::string& service,
                                          base::Endpoint address) {
  const auto found = m_references.find(service);
  if (found != m_references.end()) {
    const auto reference = found->second.find(address);
    if (reference != found->second.end())
      return &reference->second;
  }
  if (m_reference_count >= kMaximumReferences)
    return nullptr;
  ++m_reference_count;
  return &m_references[service][address];
}

}  // namespace steering
