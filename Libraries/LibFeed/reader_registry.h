// The balancers that read the store for others, as one balancer knows them. A
// reader that is not heard of for kReaderLifetime is forgotten.

#ifndef LIBFEED_READER_REGISTRY_H_
#define LIBFEED_READER_REGISTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFeed/reader_entry.h"

namespace feed {

// The order in which the balancers of `data_centre` are preferred as readers of
// the store, the smallest first. The same on every balancer
// (rendezvous hashing).
std::uint64_t ReaderRank(const base::DataCentreId& data_centre,
                         base::Ipv4Address address);

class ReaderRegistry {
 public:
  // A reader contacts every seed each second.
  static constexpr base::Duration kReaderLifetime = std::chrono::seconds(3);
  // Requests come from the network, so the table is bounded.
  static constexpr std::size_t kMaximumReaders = 1024;

  // Queries.
  // The readers of `data_centre` in the order of their ranks.
  std::vector<ReaderEntry> ReadersOf(const base::DataCentreId& data_centre,
                                     base::TimePoint now) const;
  // The readers of other data centres.
  std::vector<ReaderEntry> ReadersOutside(const base::DataCentreId& data_centre,
                                          base::TimePoint now) const;

  // Commands.
  // Records a reader that was heard of `entry.m_age` ago, unless something
  // newer is known of it.
  void Record(const ReaderEntry& entry, base::TimePoint now);
  void Remove(base::Ipv4Address address) { m_readers.erase(address.value()); }
  void RemoveExpired(base::TimePoint now);

 private:
  struct Reader {
    base::DataCentreId m_data_centre;
    bool m_is_current = false;
    base::TimePoint m_heard_at;
  };

  template <typename Predicate>
  std::vector<ReaderEntry> Select(base::TimePoint now,
                                  Predicate predicate) const;

  std::unordered_map<std::uint32_t, Reader> m_readers;
};

}  // namespace feed

#endif  // LIBFEED_READER_REGISTRY_H_
