#include "LibFeed/reader_registry.h"

#include <algorithm>

#include "LibBase/hash.h"

namespace feed {

std::uint64_t ReaderRank(const base::DataCentreId& data_centre,
                         base::Ipv4Address address) {
  return base::CombineHashes(base::HashString(data_centre.value()),
                             address.value());
}

template <typename Predicate>
std::vector<ReaderEntry> ReaderRegistry::Select(base::TimePoint now,
                                                Predicate predicate) const {
  std::vector<ReaderEntry> selected;
  for (const auto& [address, reader] : m_readers) {
    const base::Duration age = now - reader.m_heard_at;
    if (age < kReaderLifetime && predicate(reader))
      selected.push_back({base::Ipv4Address(address), reader.m_data_centre,
                          reader.m_is_current, age});
  }
  std::sort(selected.begin(), selected.end(),
            [](const ReaderEntry& left, const ReaderEntry& right) {
              return ReaderRank(left.m_data_centre, left.m_address) <
                     ReaderRank(right.m_data_centre, right.m_address);
            });
  return selected;
}

std::vector<ReaderEntry> ReaderRegistry::ReadersOf(
    const base::DataCentreId& data_centre,
    base::TimePoint now) const {
  return Select(now, [&data_centre](const Reader& reader) {
    return reader.m_data_centre == data_centre;
  });
}

std::vector<ReaderEntry> ReaderRegistry::ReadersOutside(
    const base::DataCentreId& data_centre,
    base::TimePoint now) const {
  return Select(now, [&data_centre](const Reader& reader) {
    return reader.m_data_centre != data_centre;
  });
}

void ReaderRegistry::Record(const ReaderEntry& entry, base::TimePoint now) {
  if (entry.m_age >= kReaderLifetime)
    return;
  if (m_readers.size() >= kMaximumReaders)
    RemoveExpired(now);
  const auto found = m_readers.find(entry.m_address.value());
  if (found == m_readers.end() && m_readers.size() >= kMaximumReaders)
    return;
  const base::TimePoint heard_at = now - entry.m_age;
  if (found != m_readers.end() && found->second.m_heard_at > heard_at)
    return;
  m_readers[entry.m_address.value()] = {entry.m_data_centre, entry.m_is_current,
                                        heard_at};
}

void ReaderRegistry::RemoveExpired(base::TimePoint now) {
  std::erase_if(m_readers, [now](const auto& entry) {
    return now - entry.second.m_heard_at >= kReaderLifetime;
  });
}

}  // namespace feed
