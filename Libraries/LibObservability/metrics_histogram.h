// A metric that counts values in buckets, implemented with Boost.Histogram.

#ifndef LIBOBSERVABILITY_METRICS_HISTOGRAM_H_
#define LIBOBSERVABILITY_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace observability {

class Histogram {
 public:
  // A copy of the counts. The counts are not cumulative; the last bucket has no
  // upper bound.
  struct Snapshot {
    std::vector<double> m_upper_bounds;
    std::vector<std::uint64_t> m_counts;
    double m_sum = 0;
  };

  // `upper_bounds` must increase and must not be empty.
  explicit Histogram(const std::vector<double>& upper_bounds);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  // Queries.
  Snapshot TakeSnapshot() const;

  // Commands.
  // Counts `value` in the first bucket whose upper bound is not less than
  // `value`. Ignores NaN. Thread-safe.
  void Record(double value);

 private:
  struct Storage;
  std::unique_ptr<Storage> m_storage;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_METRICS_HISTOGRAM_H_
