// Remembers for a short time which callers were refused, so that their next
// openings can be treated as retries.

#ifndef LIBADMISSION_REFUSED_CALLERS_H_
#define LIBADMISSION_REFUSED_CALLERS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace admission {

class RefusedCallers {
 public:
  // Callers retry in quick succession. A later opening is a first attempt.
  static constexpr base::Duration kRetention = std::chrono::seconds(1);
  // The number of times a caller repeats a request that was refused. Each
  // refused first attempt turns at most this many openings of its address into
  // retries, so that many callers behind one address are not all treated as
  // retrying because of one of them.
  static constexpr std::uint32_t kRetriesPerRefusal = 2;
  // An entry takes about 80 bytes. Callers beyond this number are not
  // remembered, and their retries count as first attempts.
  static constexpr std::size_t kMaximumEntries = 8192;

  // A caller that was refused on one route may be admitted on another.
  struct Key {
    base::Ipv4Address m_caller;
    base::Endpoint m_route;
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  // Queries.
  std::size_t size() const { return m_entries.size(); }
  bool IsRetry(const Key& key, base::TimePoint now) const;

  // Commands.
  // Records that a first attempt was refused.
  void RecordRefusal(const Key& key, base::TimePoint now);
  // Records an opening for which IsRetry is true, admitted or refused.
  void RecordRetry(const Key& key);
  // Deletes the expired entries.
  void Purge(base::TimePoint now);

 private:
  struct Entry {
    base::TimePoint m_refused_at;
    std::uint32_t m_expected_retries = 0;
  };

  std::map<Key, Entry> m_entries;
};

}  // namespace admission

#endif  // LIBADMISSION_REFUSED_CALLERS_H_
