// A revision of the platform's store.

#ifndef LIBBASE_STORE_REVISION_H_
#define LIBBASE_STORE_REVISION_H_

#include <compare>
#include <cstdint>

#include "LibBase/store_era.h"

namespace base {

// Within an era, the number grows with each change of any object of the store.
// A store that comes back from a copy of its past assigns numbers again that it
// assigned before, so revisions compare by era first. The default value stands
// for nothing read yet.
class StoreRevision {
 public:
  constexpr StoreRevision() = default;
  // A revision of a store that has not named its era.
  explicit constexpr StoreRevision(std::uint64_t number) : m_number(number) {}
  constexpr StoreRevision(StoreEra era, std::uint64_t number)
      : m_era(era), m_number(number) {}

  constexpr StoreEra era() const { return m_era; }
  constexpr std::uint64_t number() const { return m_number; }

  friend constexpr auto operator<=>(const StoreRevision&,
                                    const StoreRevision&) = default;

 private:
  // The order of the members is that of the comparison.
  StoreEra m_era;
  std::uint64_t m_number = 0;
};

}  // namespace base

#endif  // LIBBASE_STORE_REVISION_H_
