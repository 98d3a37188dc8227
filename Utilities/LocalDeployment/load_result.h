// Figures of the load on one user's deployment.

#ifndef UTILITIES_LOCALDEPLOYMENT_LOAD_RESULT_H_
#define UTILITIES_LOCALDEPLOYMENT_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>

namespace local_deployment {

// Sums over all callers.
struct FlowCounts {
  std::uint64_t m_flows = 0;
  std::uint64_t m_established = 0;
  std::uint64_t m_open = 0;
  std::uint64_t m_whole = 0;
  std::uint64_t m_broken = 0;
  std::uint64_t m_refused_openings = 0;
  std::uint64_t m_unanswered_openings = 0;
  std::uint64_t m_wrong_bytes = 0;
  std::uint64_t m_crossed_answers = 0;
};

struct LoadResult {
  FlowCounts m_counts;
  // Of the callers' medians the greatest, and of their 99th percentiles.
  double m_wait_p50_ms = 0;
  double m_wait_p99_ms = 0;
  // By service: the most accepted openings of a backend server over the mean of
  // its data centre, there where it is worst; 1 is even.
  std::map<std::string, double> m_imbalance;
  std::uint64_t m_foreign_packets = 0;
  std::uint64_t m_executed_twice = 0;
};

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_LOAD_RESULT_H_
