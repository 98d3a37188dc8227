// Requesters: each request opens a flow, or uses a flow that stays open for
// several requests with pauses between them.

#ifndef REVIEW_HARNESS_REQUESTERS_H_
#define REVIEW_HARNESS_REQUESTERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "../../Libraries/LibFlow/flow_key.h"
#include "../../Tests/Soak/soak_packet.h"
#include "loop.h"
#include "network.h"
#include "record.h"

namespace review {

class Requesters {
 public:
  enum class End { kServed, kReset, kTimedOut };

  // The routers' choice for a packet of a flow; nothing if no machine takes
  // packets.
  using Router =
      std::function<std::optional<base::Endpoint>(const flow::FlowKey&,
                                                  const std::string& zone)>;
  // A flow was reset. `machine` is the sender's address if it is a balancer.
  using ResetHandler =
      std::function<void(const flow::FlowKey&,
                         std::optional<base::Ipv4Address> machine,
                         bool was_open)>;

  Requesters(Loop& loop,
             Record& record,
             const Network& network,
             Router router,
             ResetHandler on_reset);
  ~Requesters();
  Requesters(const Requesters&) = delete;
  Requesters& operator=(const Requesters&) = delete;

  // Queries.
  int Count(End end) const;
  // When the SYN of a flow was first sent.
  std::optional<std::int64_t> SentAt(const flow::FlowKey& key) const;

  // Commands.
  // Opens a flow to `route` for `requests` requests with `pause_ms` between
  // them.
  void Open(base::Endpoint route,
            const std::string& zone,
            int requests = 1,
            std::int64_t pause_ms = 0);

 private:
  enum class State { kOpening, kWaiting, kPausing };
  struct Flow {
    std::string m_zone;
    State m_state = State::kOpening;
    std::uint32_t m_token = 0;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgement = 0;
    std::uint32_t m_copies = 0;
    int m_requests_left = 0;
    std::int64_t m_pause_ms = 0;
    std::int64_t m_started_at = 0;
    std::string m_id;
    std::string m_text;
    // Counts the states, so that a timer knows whether it is outdated.
    std::uint64_t m_step = 0;
  };

  void Receive();
  void Handle(const soak::SoakPacket& packet, base::Ipv4Address from);
  void HandleReset(const soak::SoakPacket& packet,
                   base::Ipv4Address from,
                   Flow& flow);
  void SendOpening(const flow::FlowKey& key);
  void SendRequest(const flow::FlowKey& key);
  void Retransmit(const flow::FlowKey& key,
                  std::uint64_t step,
                  std::int64_t interval);
  void Finish(const flow::FlowKey& key, End end);
  void Send(const flow::FlowKey& key,
            const Flow& flow,
            std::uint8_t flags,
            const std::string& payload = {});

  Loop& m_loop;
  Record& m_record;
  base::Endpoint m_endpoint;
  Router m_router;
  ResetHandler m_on_reset;
  int m_socket = -1;
  std::uint16_t m_next_port = 20'000;
  int m_next_id = 1;
  std::map<flow::FlowKey, Flow> m_flows;
  std::map<flow::FlowKey, std::int64_t> m_sent_at;
  std::map<End, int> m_counts;
};

}  // namespace review

#endif  // REVIEW_HARNESS_REQUESTERS_H_
