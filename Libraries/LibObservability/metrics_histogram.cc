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
using BinCounter = histogram::accumulators::thread_safe<std::uint64_t>;
using BoostHistogram =
    histogram::histogram<std::tuple<Axis>,
                         histogram::dense_storage<BinCounter>>;

constexpr double kInfinity = std::numeric_limits<double>::infinity();

std::vector<double> BinEdges(const std::vector<double>& upper_bounds) {
  VERIFY(!upper_bounds.empty());
  std::vector<double> edges{-kInfinity};
  edges.insert(edges.end(), upper_bounds.begin(), upper_bounds.end());
  return edges;
}

}  // namespace

// Defined here to keep Boost.Histogram out of the header.
struct Histogram::Storage {
  explicit Storage(const std::vector<double>& upper_bounds)
      : m_histogram(std::make_tuple(Axis(BinEdges(upper_bounds)))) {}

  BoostHistogram m_histogram;
  std::atomic<double> m_sum = 0;
};

Histogram::Histogram(const std::vector<double>& upper_bounds)
    : m_storage(std::make_unique<Storage>(upper_bounds)) {}

Histogram::~Histogram() = default;

Histogram::Snapshot Histogram::TakeSnapshot() const {
  Snapshot snapshot;
  const auto& axis = m_storage->m_histogram.axis(0);
  const int buckets = axis.size();
  for (int index = 0; index < buckets; ++index) {
    snapshot.m_upper_bounds.push_back(axis.value(index + 1));
    snapshot.m_counts.push_back(m_storage->m_histogram.at(index).load());
  }
  snapshot.m_counts.push_back(m_storage->m_histogram.at(buckets).load());
  snapshot.m_sum = m_storage->m_sum.load(std::memory_order_relaxed);
  return snapshot;
}

void Histogram::Record(double value) {
  if (std::isnan(value))
    return;
  // Bins of Boost.Histogram exclude their upper edge; Prometheus buckets
  // include it. Counting the next smaller double puts a value that equals an
  // upper bound into the bucket of that bound.
  m_storage->m_histogram(std::nextafter(value, -kInfinity));
  m_storage->m_sum.fetch_add(value, std::memory_order_relaxed);
}

}  // namespace observability
