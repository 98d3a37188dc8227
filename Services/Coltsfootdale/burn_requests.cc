#include "burn_requests.h"

#include <asio/post.hpp>

#include <cstddef>
#include <memory>
#include <utility>
#include <variant>

#include "burn_messages.h"
#include "peer_request.h"

namespace service {

namespace {

constexpr std::size_t kRequestsPerTarget = 2;
// Keeps a large data centre from using up the file descriptors.
constexpr std::size_t kMaximumConcurrentTargets = 256;

std::optional<observability::CombinedBurnReport> Parse(
    const std::optional<peer::Message>& message) {
  const auto* reply =
      message ? std::get_if<peer::BurnReply>(&message->m_body) : nullptr;
  return reply == nullptr ? std::nullopt : FromBurnReply(*reply);
}

// The pending handlers own the batch and keep it alive.
class BurnRequestBatch : public std::enable_shared_from_this<BurnRequestBatch> {
 public:
  BurnRequestBatch(asio::io_context& context,
                   std::vector<BurnTarget> targets,
                   peer::Message request,
                   base::TimePoint deadline,
                   std::function<void(const BurnResponses&)> done)
      : m_context(context),
        m_targets(std::move(targets)),
        m_request(std::move(request)),
        m_deadline(deadline),
        m_done(std::move(done)),
        m_states(m_targets.size()),
        m_responses(m_targets.size()) {}

  void StartTargets() {
    while (m_next_target < m_targets.size() &&
           m_running < kMaximumConcurrentTargets) {
      ++m_running;
      StartTarget(m_next_target++);
    }
    if (m_running == 0)
      m_done(m_responses);
  }

 private:
  struct TargetState {
    std::size_t m_next_endpoint = 0;
    std::size_t m_running = 0;
    bool m_is_finished = false;
  };

  void StartTarget(std::size_t target) {
    for (std::size_t i = 0; i < kRequestsPerTarget; ++i)
      RequestNextEndpoint(target);
    if (m_states[target].m_running == 0)
      asio::post(m_context, [self = shared_from_this(), target] {
        self->FinishTarget(target, std::nullopt);
      });
  }

  // Sends the request to the next endpoint of the target, unless no endpoint or
  // no time is left.
  void RequestNextEndpoint(std::size_t target) {
    TargetState& state = m_states[target];
    const std::vector<base::Endpoint>& endpoints =
        m_targets[target].m_endpoints;
    const base::Duration left = m_deadline - base::Clock::now();
    if (state.m_next_endpoint == endpoints.size() ||
        left <= base::Duration::zero())
      return;
    ++state.m_running;
    SendPeerRequest(m_context, endpoints[state.m_next_endpoint++], m_request,
                    left,
                    [self = shared_from_this(),
                     target](const std::optional<peer::Message>& message) {
                      self->HandleResponse(target, Parse(message));
                    });
  }

  void HandleResponse(std::size_t target,
                      std::optional<observability::CombinedBurnReport> report) {
    TargetState& state = m_states[target];
    --state.m_running;
    if (state.m_is_finished)
      return;
    if (!report)
      RequestNextEndpoint(target);
    if (report || state.m_running == 0)
      FinishTarget(target, std::move(report));
  }

  void FinishTarget(std::size_t target,
                    std::optional<observability::CombinedBurnReport> report) {
    m_states[target].m_is_finished = true;
    m_responses[target] = std::move(report);
    --m_running;
    StartTargets();
  }

  asio::io_context& m_context;
  std::vector<BurnTarget> m_targets;
  peer::Message m_request;
  base::TimePoint m_deadline;
  std::function<void(const BurnResponses&)> m_done;
  std::vector<TargetState> m_states;
  BurnResponses m_responses;
  std::size_t m_next_target = 0;
  // Targets that were started and have not finished.
  std::size_t m_running = 0;
};

}  // namespace

void RequestBurnReports(asio::io_context& context,
                        std::vector<BurnTarget> targets,
                        const peer::Message& request,
                        base::Duration deadline,
                        std::function<void(const BurnResponses&)> done) {
  const auto batch = std::make_shared<BurnRequestBatch>(
      context, std::move(targets), request, base::Clock::now() + deadline,
      std::move(done));
  asio::post(context, [batch] { batch->StartTargets(); });
}

}  // namespace service
