#include "LibObservability/metrics_histogram.h"

#include <atomic>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <limits>

#include "LibBase/verify.h"

namespace observability {

namespace {

namespace histogram = boost::histogram;
using Axis = histogram::axis::
    variable<double, boost::use_default, histogram::axis::option::overflow_t>;
using Cell = histogram::accumulators::thread_safe<std::uint64_t>;
using Cells =
    histogram::histogram<std::tuple<Axis>, histogram::dense_storage<Cell>>;

constexpr double kInfinity = std::numeric_limits<double>::infinity();

std::vector<double> EdgesOf(const std::vector<double>& upper_bounds) {
  VERIFY(!upper_bounds.empty());
  std::vector<double> edges{-kInfinity};
  edges.insert(edges.end(), upper_bounds.begin(), upper_bounds.end());
  return edges;
}

}  // namespace

struct Histogram::Storage {
  explicit Storage(const std::vector<double>& upper_bounds)
      : m_cells(std::make_tuple(Axis(EdgesOf(upper_bounds)))) {}

  Cells m_cells;
  std::atomic<double> m_sum = 0;
};

Histogram::Histogram(const std::vector<double>& upper_bounds)
    : m_storage(std::make_unique<Storage>(upper_bounds)) {}

Histogram::~Histogram() = default;

Histogram::Snapshot Histogram::TakeSnapshot() const {
  Snapshot snapshot;
  const auto& axis = m_storage->m_cells.axis(0);
  const int buckets = axis.size();
  for (int index = 0; index < buckets; ++index) {
    snapshot.m_upper_bounds.push_back(axis.value(index + 1));
    snapshot.m_counts.push_back(m_storage->m_cells.at(index).load());
  }
  snapshot.m_counts.push_back(m_storage->m_cells.at(buckets).load());
  snapshot.m_sum = m_storage->m_sum.load(std::memory_order_relaxed);
  return snapshot;
}

void Histogram::Record(double value) {
  if (std::isnan(value))
    return;
  // Boost's bins leave out their upper edge, those of Prometheus include it.
  m_storage->m_cells(std::nextafter(value, -kInfinity));
  m_storage->m_sum.fetch_add(value, std::memory_order_relaxed);
}

}  // namespace observability
