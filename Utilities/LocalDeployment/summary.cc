#include "summary.h"

#include <fmt/format.h>

#include "load_result.h"
#include "user_profile.h"

namespace local_deployment {

namespace {

std::string DescribeImbalance(const LoadResult& result) {
  std::string text;
  for (const auto& [service, imbalance] : result.m_imbalance)
    text += fmt::format("{}{} {:.2f}", text.empty() ? "" : ", ", service,
                        imbalance);
  return text;
}

}  // namespace

std::string DescribeProfile(const UserProfile& profile) {
  return fmt::format(
      "{}: {} data centres, each with {} balancers, {} servers of {} and {} "
      "of {}, {} slots a server, seed {}",
      profile.m_name, profile.m_data_centres.size(), profile.m_balancers,
      profile.m_portal_servers, profile.m_portal, profile.m_archive_servers,
      profile.m_archive, profile.m_slots, profile.m_seed);
}

std::string DescribeProgress(std::chrono::seconds elapsed,
                             const UserProfile& profile,
                             const FlowCounts& counts) {
  return fmt::format(
      "{:4} s  {:<34} established {:7}  open {:5}  broken {:3}  openings "
      "refused {:4}",
      elapsed.count(), profile.m_name, counts.m_established, counts.m_open,
      counts.m_broken, counts.m_refused_openings);
}

std::string DescribeResult(const UserProfile& profile,
                           const LoadResult& result) {
  const FlowCounts& counts = result.m_counts;
  return fmt::format(
      "{}\n"
      "  flows {}, whole {}, broken {}, openings refused {}, unanswered {}\n"
      "  wrong bytes {}, crossed answers {}, packets at a wrong service {}, "
      "requests run twice {}\n"
      "  imbalance {} (accepted openings, peak over mean, worst data centre)\n"
      "  wait p50 {:.1f} ms, p99 {:.1f} ms (worst caller)",
      profile.m_name, counts.m_flows, counts.m_whole, counts.m_broken,
      counts.m_refused_openings, counts.m_unanswered_openings,
      counts.m_wrong_bytes, counts.m_crossed_answers, result.m_foreign_packets,
      result.m_executed_twice, DescribeImbalance(result), result.m_wait_p50_ms,
      result.m_wait_p99_ms);
}

bool HasNoFailures(const LoadResult& result) {
  const FlowCounts& counts = result.m_counts;
  return counts.m_whole > 0 && counts.m_broken == 0 &&
         counts.m_wrong_bytes == 0 && counts.m_crossed_answers == 0 &&
         result.m_foreign_packets == 0 && result.m_executed_twice == 0;
}

}  // namespace local_deployment
