// A caller that opens one flow after another, sends requests, and checks the
// answers.

#ifndef TESTS_SOAK_SOAK_CALLER_H_
#define TESTS_SOAK_SOAK_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "LibBase/timer_service.h"
#include "LibFlow/flow_key.h"
#include "StandIns/event_loop.h"
#include "StandIns/udp_port.h"
#include "soak_packet.h"

namespace soak {

class InvariantChecker;

class SoakCaller {
 public:
  // Returns the balancer that receives a packet of `flow`, or nothing if no
  // balancer is in rotation.
  using Router =
      std::function<std::optional<base::Endpoint>(const flow::FlowKey& flow)>;
  // Returns the service address for the next flow.
  using RouteSource = std::function<base::Endpoint()>;

  // Throws if the caller cannot bind `address`.
  SoakCaller(stand_ins::EventLoop* loop,
             InvariantChecker* checker,
             base::Ipv4Address address,
             std::uint64_t seed,
             Router router,
             RouteSource routes);
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

 private:
  enum class State { kOpening, kPausing, kWaiting, kEnded };

  void OpenFlow();
  void SendRequest();
  void Retransmit();
  void Handle(stand_ins::UdpPort::Bytes datagram, base::Endpoint source);
  void HandleReset(const SoakPacket& packet, base::Endpoint source);
  void HandleAnswer(const SoakPacket& packet);
  void EndRequest(bool is_served);
  void Send(std::uint8_t flags, const std::string& payload = {});
  void Schedule(base::Duration delay, void (SoakCaller::*step)());

  stand_ins::EventLoop* m_loop;
  InvariantChecker* m_checker;
  base::Random m_random;
  Router m_router;
  RouteSource m_routes;
  std::unique_ptr<stand_ins::UdpPort> m_port;
  std::optional<base::TimerId> m_timer;

  flow::FlowKey m_flow;
  State m_state = State::kOpening;
  std::uint32_t m_token = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
  int m_requests_left = 0;
  std::string m_request;
  std::string m_request_id;
  base::TimePoint m_sent_at;
  base::Duration m_retransmit_after{};
  std::uint64_t m_next_request = 0;
};

}  // namespace soak

#endif  // TESTS_SOAK_SOAK_CALLER_H_
