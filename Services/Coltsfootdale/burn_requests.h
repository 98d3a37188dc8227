// Requests the burn reports of many balancers concurrently.

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

// A balancer or data centre whose burn report is requested. Any one of the
// endpoints can reply. They receive the request in order, two at a time, until
// one replies. A target without an endpoint has no response.
struct BurnTarget {
  std::string m_name;
  std::vector<base::Endpoint> m_endpoints;
};

// The response of each target, in the order of the targets; nothing for a
// target that did not respond.
using BurnResponses =
    std::vector<std::optional<observability::CombinedBurnReport>>;

// Sends `request` to each of `targets` and calls `done` once from `context`:
// when all targets have responded or failed, after `deadline` at the latest.
void RequestBurnReports(asio::io_context& context,
                        std::vector<BurnTarget> targets,
                        const peer::Message& request,
                        base::Duration deadline,
                        std::function<void(const BurnResponses&)> done);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_REQUESTS_H_
