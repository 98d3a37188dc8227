#include "burn_messages.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include "LibObservability/burn_window.h"
#include "LibPeer/limits.h"

namespace service {

namespace {

using observability::CombinedBurnReport;
using observability::EventCounts;
using observability::ServiceCounts;

// Bad events and all events of each window of each objective.
constexpr std::size_t kCounts =
    2 * observability::kBurnWindowCount * observability::kObjectiveCount;

static_assert(kCounts <= peer::kMaximumBurnCounts);
static_assert(CombinedBurnReport::kMaximumMissingNames <=
              peer::kMaximumMissingBalancers);
static_assert(observability::BurnReport::kMaximumServices <=
              peer::kMaximumBurnServices);

peer::ServiceBurn ToServiceBurn(const std::string& service,
                                const ServiceCounts& counts) {
  peer::ServiceBurn burn{service, {}};
  burn.m_counts.reserve(kCounts);
  for (const observability::WindowCounts& windows : counts) {
    for (const EventCounts& window : windows) {
      burn.m_counts.push_back(window.m_bad);
      burn.m_counts.push_back(window.m_total);
    }
  }
  return burn;
}

// `burn` holds kCounts counts.
ServiceCounts FromServiceBurn(const peer::ServiceBurn& burn) {
  ServiceCounts counts;
  std::size_t next = 0;
  for (observability::WindowCounts& windows : counts) {
    for (EventCounts& window : windows) {
      window.m_bad = burn.m_counts[next++];
      window.m_total = burn.m_counts[next++];
    }
  }
  return counts;
}

}  // namespace

peer::BurnReply ToBurnReply(const CombinedBurnReport& burn) {
  peer::BurnReply reply;
  reply.m_expected = static_cast<std::uint32_t>(burn.expected());
  reply.m_answered = static_cast<std::uint32_t>(burn.answered());
  reply.m_shortest_counting_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          burn.shortest_counting_time().value_or(base::Duration::zero()));
  reply.m_missing = burn.missing();
  for (const auto& [service, counts] : burn.report().services())
    reply.m_services.push_back(ToServiceBurn(service, counts));
  return reply;
}

std::optional<CombinedBurnReport> FromBurnReply(const peer::BurnReply& reply) {
  if (reply.m_answered == 0 || reply.m_answered > reply.m_expected ||
      reply.m_missing.size() > reply.m_expected - reply.m_answered)
    return std::nullopt;
  observability::BurnReport report;
  for (const peer::ServiceBurn& service : reply.m_services) {
    if (service.m_counts.size() != kCounts)
      return std::nullopt;
    report.Add(service.m_service, FromServiceBurn(service));
  }
  return CombinedBurnReport(std::move(report), reply.m_shortest_counting_time,
                            reply.m_expected, reply.m_answered,
                            reply.m_missing);
}

}  // namespace service
