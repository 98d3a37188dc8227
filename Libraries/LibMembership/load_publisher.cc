#include "LibMembership/load_publisher.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <tuple>

#include "LibPeer/limits.h"

namespace membership {

namespace {

// A message without entries, including IP and UDP headers.
constexpr double kEmptyMessageBytes = 80;
// An encoded peer::LoadEntry.
constexpr double kEntryBytes = 6;

}  // namespace

bool LoadPublisher::HasChanges() const {
  return std::ranges::any_of(
      m_counts, [](const auto& count) { return count.second.HasChanged(); });
}

void LoadPublisher::SetOpenFlows(base::BackendServerId server,
                                 std::uint64_t open_flows) {
  constexpr std::uint64_t kMaximumCount =
      std::numeric_limits<std::uint16_t>::max();
  m_counts[ShortServerId(server)].m_open_flows =
      static_cast<std::uint16_t>(std::min(open_flows, kMaximumCount));
}

void LoadPublisher::RetainServers(const ShortServerIds& servers) {
  std::erase_if(m_counts, [&servers](const auto& count) {
    return !servers.contains(count.first);
  });
}

void LoadPublisher::CountOtherBytes(std::uint64_t bytes) {
  m_tokens_bytes = std::max(-m_settings.m_burst_bytes,
                            m_tokens_bytes - static_cast<double>(bytes));
}

void LoadPublisher::Refill(base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - m_refilled_at;
  m_refilled_at = now;
  m_tokens_bytes = std::min(
      m_settings.m_burst_bytes,
      m_tokens_bytes + elapsed.count() * m_settings.m_bytes_per_second);
}

std::vector<LoadPublisher::Counts::iterator> LoadPublisher::DueCounts(
    base::TimePoint now) {
  std::vector<Counts::iterator> due;
  for (auto at = m_counts.begin(); at != m_counts.end(); ++at) {
    const Count& count = at->second;
    const bool needs_repeat =
        !count.m_published_at ||
        now - *count.m_published_at >= m_settings.m_repeat_period;
    if (needs_repeat || count.HasChanged())
      due.push_back(at);
  }
  const auto urgency = [](const Counts::iterator& at) {
    const Count& count = at->second;
    const int change =
        std::abs(int{count.m_open_flows} - int{count.m_published});
    return std::tuple(-change, count.m_published_at);
  };
  std::sort(due.begin(), due.end(), [&](const auto& first, const auto& second) {
    return urgency(first) < urgency(second);
  });
  return due;
}

std::size_t LoadPublisher::AffordableEntries(
    const std::vector<Counts::iterator>& due,
    std::size_t recipients) const {
  const auto members = static_cast<double>(recipients);
  const auto entries_for = [members](double bytes) {
    return (bytes / members - kEmptyMessageBytes) / kEntryBytes;
  };
  const auto changed = static_cast<std::size_t>(std::ranges::count_if(
      due, [](const auto& at) { return at->second.HasChanged(); }));
  const std::size_t wanted =
      std::min(changed > 0 ? changed : due.size(), peer::kMaximumLoadEntries);
  // Half-empty messages would spend the budget on headers. The publisher
  // therefore waits until the budget covers all wanted entries, or the most
  // entries that a full budget ever covers.
  const double affordable = entries_for(m_tokens_bytes);
  const double maximum = entries_for(m_settings.m_burst_bytes);
  if (maximum < 1 ||
      affordable < std::min(static_cast<double>(wanted), maximum))
    return 0;
  return std::min({due.size(), static_cast<std::size_t>(affordable),
                   peer::kMaximumLoadEntries});
}

std::optional<peer::LoadDigest> LoadPublisher::Next(std::size_t recipients,
                                                    base::TimePoint now) {
  Refill(now);
  if (recipients == 0 || now < m_next_at)
    return std::nullopt;
  std::vector<Counts::iterator> due = DueCounts(now);
  due.resize(AffordableEntries(due, recipients));
  if (due.empty())
    return std::nullopt;

  peer::LoadDigest digest;
  for (const auto& at : due) {
    Count& count = at->second;
    count.m_published = count.m_open_flows;
    count.m_published_at = now;
    digest.m_entries.push_back({at->first, count.m_open_flows});
  }
  const double entries = static_cast<double>(due.size());
  m_tokens_bytes -= static_cast<double>(recipients) *
                    (kEmptyMessageBytes + kEntryBytes * entries);
  m_next_at = now + m_settings.m_minimum_period;
  return digest;
}

}  // namespace membership
