#include "LibLoadExchange/fleet_load.h"

#include <algorithm>
#include <map>
#include <utility>

#include "LibLoadExchange/limits.h"

namespace load_exchange {

namespace {

void BoundNumbers(DataCentreLoad& load) {
  load.m_balancers = std::min(load.m_balancers, kMaximumBalancers);
  for (ServiceLoad& service : load.m_services) {
    const std::uint64_t balancers = load.m_balancers;
    service.m_requests_in_progress = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(service.m_requests_in_progress,
                                balancers * kMaximumRequestsInProgress));
    service.m_openings_per_second = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(service.m_openings_per_second,
                                balancers * kMaximumOpeningsPerSecond));
  }
  for (ServerEvidence& server : load.m_servers) {
    const double bound = kMaximumEvidence * load.m_balancers;
    server.m_unanswered = std::min(server.m_unanswered, bound);
    server.m_answered = std::min(server.m_answered, bound);
    server.m_largest_unanswered =
        std::min(server.m_largest_unanswered, server.m_unanswered);
  }
}

// Whether `next` is greater than `previous` in serial number arithmetic.
bool IsAfter(std::uint32_t next, std::uint32_t previous) {
  return static_cast<std::int32_t>(next - previous) > 0;
}

}  // namespace

bool FleetLoad::Record(DataCentreLoad load, base::TimePoint now) {
  if (load.m_age >= kSumsLifetime || load.m_balancers == 0)
    return false;
  std::erase_if(m_entries, [now](const Entry& entry) {
    return now - entry.m_computed_at >= kSumsLifetime;
  });
  const auto known = std::ranges::find_if(m_entries, [&](const Entry& entry) {
    return entry.m_load.m_data_centre == load.m_data_centre &&
           entry.m_load.m_reader == load.m_reader;
  });
  if (known != m_entries.end() &&
      !IsAfter(load.m_sequence, known->m_load.m_sequence))
    return false;
  if (known == m_entries.end() &&
      m_entries.size() >= kMaximumDataCentres * kMaximumReadersPerDataCentre)
    return false;
  BoundNumbers(load);
  const base::TimePoint computed_at = now - load.m_age;
  if (known != m_entries.end())
    *known = {std::move(load), computed_at};
  else
    m_entries.push_back({std::move(load), computed_at});
  RecordLargest(now);
  return true;
}

void FleetLoad::RecordLargest(base::TimePoint now) {
  // After a long isolation, sums arrive as after the start.
  if (m_largest.empty() || now - m_largest.back().first > kLargestFor)
    m_first_sums_at = now;
  const std::uint32_t balancers = LiveBalancers(now).value_or(0);
  while (!m_largest.empty() && m_largest.back().second <= balancers)
    m_largest.pop_back();
  m_largest.emplace_back(now, balancers);
  // The last entry before the minute stays until a later one expires.
  while (m_largest.size() > 1 && now - m_largest.front().first > kLargestFor)
    m_largest.pop_front();
}

std::vector<const FleetLoad::Entry*> FleetLoad::CountingEntries(
    base::TimePoint now) const {
  std::map<std::uint32_t, const Entry*> counting;
  const auto is_better = [now](const Entry& left, const Entry& right) {
    const auto rank = [now](const Entry& entry) {
      const bool is_fresh = now - entry.m_computed_at < kFreshFor;
      return std::pair(is_fresh, is_fresh ? entry.m_load.m_balancers : 0);
    };
    const auto left_rank = rank(left);
    const auto right_rank = rank(right);
    if (left_rank != right_rank)
      return left_rank > right_rank;
    return left.m_computed_at > right.m_computed_at;
  };
  for (const Entry& entry : m_entries) {
    if (now - entry.m_computed_at >= kSumsLifetime)
      continue;
    const Entry*& best = counting[entry.m_load.m_data_centre];
    if (best == nullptr || is_better(entry, *best))
      best = &entry;
  }
  std::vector<const Entry*> entries;
  entries.reserve(counting.size());
  for (const auto& [data_centre, entry] : counting)
    entries.push_back(entry);
  return entries;
}

std::optional<std::uint32_t> FleetLoad::LiveBalancers(
    base::TimePoint now) const {
  const auto entries = CountingEntries(now);
  if (entries.empty())
    return std::nullopt;
  std::uint32_t balancers = 0;
  for (const Entry* entry : entries)
    balancers += entry->m_load.m_balancers;
  return std::min(balancers, kMaximumBalancers);
}

std::optional<std::uint32_t> FleetLoad::LargestBalancers(
    base::TimePoint now) const {
  if (!m_first_sums_at || now - *m_first_sums_at < kSettlingTime)
    return std::nullopt;
  const auto recent = std::ranges::find_if(m_largest, [now](const auto& seen) {
    return now - seen.first <= kLargestFor;
  });
  if (recent == m_largest.end())
    return std::nullopt;
  return recent->second;
}

ServiceLoad FleetLoad::LoadOf(std::string_view data_centre,
                              std::string_view service,
                              base::TimePoint now) const {
  const std::uint32_t service_key = KeyOf(service);
  for (const Entry* entry : CountingEntries(now)) {
    if (entry->m_load.m_data_centre != KeyOf(data_centre))
      continue;
    for (const ServiceLoad& load : entry->m_load.m_services) {
      if (load.m_service == service_key)
        return load;
    }
  }
  return {service_key, 0, 0};
}

std::vector<ServerEvidence> FleetLoad::Evidence(base::TimePoint now) const {
  std::map<std::uint32_t, ServerEvidence> sums;
  for (const Entry* entry : CountingEntries(now)) {
    for (const ServerEvidence& server : entry->m_load.m_servers) {
      ServerEvidence& sum = sums[server.m_token];
      sum.m_token = server.m_token;
      sum.m_unanswered += server.m_unanswered;
      sum.m_answered += server.m_answered;
      sum.m_largest_unanswered =
          std::max(sum.m_largest_unanswered, server.m_largest_unanswered);
    }
  }
  std::vector<ServerEvidence> evidence;
  evidence.reserve(sums.size());
  for (const auto& [token, sum] : sums)
    evidence.push_back(sum);
  return evidence;
}

double FleetLoad::UnansweredShare(const ServerEvidence& evidence) {
  // Answered requests that are added to those of every server. They keep the
  // share small while few requests have been counted.
  constexpr double kPriorAnswers = 2;
  const double unanswered =
      evidence.m_unanswered - evidence.m_largest_unanswered;
  return unanswered / (unanswered + evidence.m_answered + kPriorAnswers);
}

double FleetLoad::UnansweredShare(std::uint32_t token,
                                  base::TimePoint now) const {
  for (const ServerEvidence& server : Evidence(now)) {
    if (server.m_token == token)
      return UnansweredShare(server);
  }
  return 0;
}

LoadSums FleetLoad::Sums(base::TimePoint now) const {
  LoadSums sums;
  const auto add = [&](const Entry& entry) {
    sums.push_back(entry.m_load);
    sums.back().m_age = now - entry.m_computed_at;
  };
  const auto counting = CountingEntries(now);
  for (const Entry* entry : counting)
    add(*entry);
  for (const Entry& entry : m_entries) {
    if (now - entry.m_computed_at < kFreshFor &&
        std::ranges::find(counting, &entry) == counting.end())
      add(entry);
  }
  return sums;
}

std::vector<base::Ipv4Address> FleetLoad::ReadersOf(std::uint32_t data_centre,
                                                    base::TimePoint now) const {
  std::vector<base::Ipv4Address> readers;
  for (const Entry& entry : m_entries) {
    if (entry.m_load.m_data_centre == data_centre &&
        now - entry.m_computed_at < kFreshFor)
      readers.push_back(entry.m_load.m_reader);
  }
  return readers;
}

}  // namespace load_exchange
