// Results of the load on one user's deployment.

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
  // Flows without a result yet.
  std::uint64_t m_open = 0;
  // Flows whose whole answer arrived, and nothing else.
  std::uint64_t m_whole = 0;
  std::uint64_t m_broken = 0;
  std::uint64_t m_refused_openings = 0;
  std::uint64_t m_unanswered_openings = 0;
  // Bytes that differ from the requested answer or follow it.
  std::uint64_t m_wrong_bytes = 0;
  // Answers to another request or from another service.
  std::uint64_t m_crossed_answers = 0;
};

struct LoadResult {
  FlowCounts m_counts;
  // The greatest median and the greatest 99th percentile of any caller process.
  double m_wait_p50_ms = 0;
  double m_wait_p99_ms = 0;
  // By service: the greatest number of accepted openings of a backend server,
  // divided by the mean of its data centre; the maximum over all data centres.
  // 1 is an even distribution.
  std::map<std::string, double> m_imbalance;
  // Packets that backend servers received for another service.
  std::uint64_t m_foreign_packets = 0;
  // Requests that ran twice, over all servers of a data centre together.
  std::uint64_t m_executed_twice = 0;
};

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_LOAD_RESULT_H_
