// Asks many balancers for their burn reports side by side.

#ifndef SERVICES_COLTSFOOTDALE_BURN_REQUESTS_H_
#define SERVICES_COLTSFOOTDALE_BURN_REQUESTS_H_

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibObservability/combined_burn_report.h"
#include "LibPeer/message.h"

namespace service {

// Part of a sum. Any one of its endpoints can answer for it; they are asked in
// turn, two at a time. Without an endpoint it stays missing.
struct BurnTarget {
  std::string m_name;
  std::vector<base::Endpoint> m_endpoints;
};

// What each part answered, in their order.
using BurnResponses =
    std::vector<std::optional<observability::CombinedBurnReport>>;

// Sends `request` for each of `parts` and calls `done` once from `context`:
// when all have answered or failed, after `deadline` at the latest.
void RequestBurnReports(asio::io_context& context,
                        std::vector<BurnTarget> targets,
                        const peer::Message& request,
                        base::Duration deadline,
                        std::function<void(const BurnResponses&)> done);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_REQUESTS_H_
