#include "burn_gathering.h"

#include <asio/post.hpp>

#include <cstddef>
#include <memory>
#include <utility>
#include <variant>

#include "burn_messages.h"
#include "peer_exchange.h"

namespace service {

namespace {

constexpr std::size_t kAttemptsAtOnce = 2;
// So that a large data centre does not use up the file descriptors.
constexpr std::size_t kPartsAtOnce = 256;

std::optional<observability::CombinedBurn> Parse(
    const std::optional<peer::Message>& answer) {
  const auto* reply =
      answer ? std::get_if<peer::BurnReply>(&answer->m_body) : nullptr;
  return reply == nullptr ? std::nullopt : FromBurnReply(*reply);
}

// Keeps itself alive by the handlers that refer to it.
class Gathering : public std::enable_shared_from_this<Gathering> {
 public:
  Gathering(asio::io_context& context,
            std::vector<BurnPart> parts,
            peer::Message request,
            base::TimePoint deadline,
            std::function<void(const BurnParts&)> done)
      : m_context(context),
        m_parts(std::move(parts)),
        m_request(std::move(request)),
        m_deadline(deadline),
        m_done(std::move(done)),
        m_states(m_parts.size()),
        m_answers(m_parts.size()) {}

  void StartParts() {
    while (m_next_part < m_parts.size() && m_running < kPartsAtOnce) {
      ++m_running;
      StartPart(m_next_part++);
    }
    if (m_running == 0)
      m_done(m_answers);
  }

 private:
  struct PartState {
    std::size_t m_next_endpoint = 0;
    std::size_t m_running = 0;
    bool m_has_ended = false;
  };

  void StartPart(std::size_t part) {
    for (std::size_t lane = 0; lane < kAttemptsAtOnce; ++lane)
      TryNext(part);
    if (m_states[part].m_running == 0)
      asio::post(m_context, [self = shared_from_this(), part] {
        self->EndPart(part, std::nullopt);
      });
  }

  // Asks the next endpoint of the part, if there is one and time is left.
  void TryNext(std::size_t part) {
    PartState& state = m_states[part];
    const std::vector<base::Endpoint>& endpoints = m_parts[part].m_endpoints;
    const base::Duration left = m_deadline - base::Clock::now();
    if (state.m_next_endpoint == endpoints.size() ||
        left <= base::Duration::zero())
      return;
    ++state.m_running;
    AskPeer(m_context, endpoints[state.m_next_endpoint++], m_request, left,
            [self = shared_from_this(),
             part](const std::optional<peer::Message>& answer) {
              self->TakeAnswer(part, Parse(answer));
            });
  }

  void TakeAnswer(std::size_t part,
                  std::optional<observability::CombinedBurn> answer) {
    PartState& state = m_states[part];
    --state.m_running;
    if (state.m_has_ended)
      return;
    if (!answer)
      TryNext(part);
    if (answer || state.m_running == 0)
      EndPart(part, std::move(answer));
  }

  void EndPart(std::size_t part,
               std::optional<observability::CombinedBurn> answer) {
    m_states[part].m_has_ended = true;
    m_answers[part] = std::move(answer);
    --m_running;
    StartParts();
  }

  asio::io_context& m_context;
  std::vector<BurnPart> m_parts;
  peer::Message m_request;
  base::TimePoint m_deadline;
  std::function<void(const BurnParts&)> m_done;
  std::vector<PartState> m_states;
  BurnParts m_answers;
  std::size_t m_next_part = 0;
  // Parts that were started and have not ended.
  std::size_t m_running = 0;
};

}  // namespace

void GatherBurn(asio::io_context& context,
                std::vector<BurnPart> parts,
                const peer::Message& request,
                base::Duration deadline,
                std::function<void(const BurnParts&)> done) {
  const auto gathering = std::make_shared<Gathering>(
      context, std::move(parts), request, base::Clock::now() + deadline,
      std::move(done));
  asio::post(context, [gathering] { gathering->StartParts(); });
}

}  // namespace service
