// Identifier types that do not convert to one another, or from plain values
// without an explicit constructor call. `Tag` makes each type distinct.

#ifndef LIBBASE_STRONG_ID_H_
#define LIBBASE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace base {

template <typename Tag, typename Representation>
class StrongId {
 public:
  using ValueType = Representation;

  constexpr StrongId() = default;
  explicit constexpr StrongId(Representation value)
      : m_value(std::move(value)) {}

  constexpr const Representation& value() const { return m_value; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  Representation m_value{};
};

}  // namespace base

template <typename Tag, typename Representation>
struct std::hash<base::StrongId<Tag, Representation>> {
  std::size_t operator()(
      const base::StrongId<Tag, Representation>& id) const noexcept {
    return std::hash<Representation>{}(id.value());
  }
};

#endif  // LIBBASE_STRONG_ID_H_
