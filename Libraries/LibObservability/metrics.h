// Counters, gauges and histograms of the process and their rendering in the
// Prometheus text exposition format, version 0.0.4. Updates are safe from
// every thread and take no lock; registration and rendering take one.

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

// Only grows.
class Counter {
 public:
  void Add(std::uint64_t count = 1) {
    m_value.fetch_add(count, std::memory_order_relaxed);
  }
  // Takes over the total of another counter; does nothing if it is less.
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

// Holds the last value set.
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

// A family with this many label sets puts every further one into a single
// series whose label values are all "other".
inline constexpr std::size_t kMaxSeriesInFamily = 256;

class MetricsRegistry {
 public:
  // Each returns the series of `name` and `labels`, made at the first call.
  // The reference stays valid as long as the registry. A name keeps the kind
  // and help text of its first call; another kind is a programming error.
  Counter& CounterOf(std::string_view name,
                     std::string_view help,
                     const Labels& labels = {});
  Gauge& GaugeOf(std::string_view name,
                 std::string_view help,
                 const Labels& labels = {});
  // `upper_bounds` increase; a last bucket without bound is added.
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
