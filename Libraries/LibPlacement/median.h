#ifndef LIBPLACEMENT_MEDIAN_H_
#define LIBPLACEMENT_MEDIAN_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace placement {

// Returns the upper median, or nothing if `values` is empty. Reorders `values`.
inline std::optional<double> Median(std::vector<double>& values) {
  if (values.empty())
    return std::nullopt;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace placement

#endif  // LIBPLACEMENT_MEDIAN_H_
