// Counters, gauges and histograms of the process, rendered in the Prometheus
// text exposition format, version 0.0.4. All functions are thread-safe. Updates
// are lock-free; registration and rendering lock a mutex.

#ifndef LIBOBSERVABILITY_METRICS_H_
#define LIBOBSERVABILITY_METRICS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "LibObservability/metrics_histogram.h"

namespace observability {

// A value that only increases.
class Counter {
 public:
  void Add(std::uint64_t count = 1) {
    m_value.fetch_add(count, std::memory_order_relaxed);
  }
  // Raises the value to `total`, the value of another counter. Does nothing if
  // `total` is less than the value.
  void RaiseTo(std::uint64_t total) {
    std::uint64_t value = Value();
    while (value < total && !m_value.compare_exchange_weak(
                                value, total, std::memory_order_relaxed)) {
    }
  }
  std::uint64_t Value() const {
    return m_value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> m_value = 0;
};

// A value that can be set to any number.
class Gauge {
 public:
  void Set(double value) { m_value.store(value, std::memory_order_relaxed); }
  double Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value = 0;
};

struct Label {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const Label&, const Label&) = default;
  friend auto operator<=>(const Label&, const Label&) = default;
};
using Labels = std::vector<Label>;

// Limits the label sets of a metric family (all series of one name). Once a
// family has this many, all further label sets share a single series whose
// label values are all "other".
inline constexpr std::size_t kMaxSeriesInFamily = 256;

class MetricsRegistry {
 public:
  // Each returns the series of `name` and `labels` and creates it at the first
  // call. The reference is valid as long as the registry. A name keeps the
  // metric type and help text of its first call; requesting another type is a
  // programming error.
  Counter& CounterOf(std::string_view name,
                     std::string_view help,
                     const Labels& labels = {});
  Gauge& GaugeOf(std::string_view name,
                 std::string_view help,
                 const Labels& labels = {});
  // `upper_bounds` must increase. A last bucket without upper bound is added.
  Histogram& HistogramOf(std::string_view name,
                         std::string_view help,
                         const std::vector<double>& upper_bounds,
                         const Labels& labels = {});

  std::string RenderPrometheus() const;

 private:
  using Series = std::variant<std::unique_ptr<Counter>,
                              std::unique_ptr<Gauge>,
                              std::unique_ptr<Histogram>>;
  struct Family {
    std::string m_help;
    std::map<Labels, Series> m_series;
  };

  template <typename Metric, typename... Arguments>
  Metric& FindOrCreateSeries(std::string_view name,
                             std::string_view help,
                             const Labels& labels,
                             const Arguments&... arguments);

  mutable std::mutex m_mutex;
  std::map<std::string, Family, std::less<>> m_families;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_METRICS_H_
