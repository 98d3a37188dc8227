// The traffic thread. It owns the traffic socket and the TrafficCore and
// executes the core's effects. Other threads access the core through Post.

#ifndef SERVICES_COLTSFOOTDALE_TRAFFIC_LOOP_H_
#define SERVICES_COLTSFOOTDALE_TRAFFIC_LOOP_H_

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <thread>
#include <vector>

#include "LibBalancer/traffic_core.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibEventLoop/datagram_batch.h"
#include "LibFlow/silence_detector.h"
#include "traffic_counters.h"

namespace wire {
class PacketView;
struct Abort;
}  // namespace wire

namespace service {

struct TrafficLoopOptions {
  // The id of this balancer.
  base::BalancerId m_self;
  // The UDP address on which packets and relays arrive.
  base::Endpoint m_listen;
  // The fabric's endpoint for packets to callers.
  base::Endpoint m_gateway;
  flow::FlowSettings m_flow;
  std::uint64_t m_seed = 0;
};

class TrafficLoop {
 public:
  // Runs on the traffic thread.
  using SilenceHandler = std::function<void(flow::SilenceActions actions)>;
  using Task =
      std::function<void(balancer::TrafficCore& core, base::TimePoint now)>;

  // Binds the socket. Returns a system error if it cannot be bound.
  static base::Outcome<std::unique_ptr<TrafficLoop>> Create(
      const TrafficLoopOptions& options);
  // Stops the thread.
  ~TrafficLoop();
  TrafficLoop(const TrafficLoop&) = delete;
  TrafficLoop& operator=(const TrafficLoop&) = delete;

  // Queries.
  base::Endpoint LocalEndpoint() const { return m_local; }
  const TrafficCounters& counters() const { return m_counters; }

  // Commands.
  // `on_silence` receives the messages to the other balancers and the silent
  // flows to log. The silent flows are already reset when it is called.
  void Start(SilenceHandler on_silence);
  // Runs `task` on the traffic thread.
  void Post(Task task);

 private:
  explicit TrafficLoop(const TrafficLoopOptions& options);

  void WaitForPackets();
  void ReceivePackets();
  // Handles a packet from the fabric, or removes the header of a relay and
  // handles the packet in it.
  void HandleDatagram(std::span<const std::uint8_t> datagram,
                      base::Ipv4Address source,
                      base::TimePoint now);
  // `server` is the backend server that sent the packet, if a server did.
  void HandlePacket(std::span<const std::uint8_t> bytes,
                    base::Ipv4Address server,
                    flow::RelayContext relay,
                    base::TimePoint now);
  // Executes the effects of `packet`. `server` is the backend server that sent
  // the packet; zero if a caller did.
  void Execute(const flow::Effects& effects,
               const wire::PacketView& packet,
               base::Ipv4Address server);
  // Adds the concatenation of `prefix` and `bytes` to the batch. Both must be
  // valid until Flush.
  void Send(base::Endpoint destination,
            std::span<const std::uint8_t> prefix,
            std::span<const std::uint8_t> bytes);
  // Sends the batch and counts the packets that could not be sent.
  void Flush();
  void ScheduleAdvance();
  void Advance(base::TimePoint now);
  // Sends resets to both ends of the flow. The packet to the server passes
  // through the flow's home, which then stops counting the flow.
  void ResetFlow(const flow::SilentFlow& silent, base::TimePoint now);
  // Sends one reset to the end `receiver`.
  void SendAbort(const wire::Abort& abort,
                 flow::StreamEnd receiver,
                 base::TimePoint now);

  base::BalancerId m_self;
  base::Endpoint m_gateway;
  base::Endpoint m_local;
  balancer::TrafficCore m_core;
  TrafficCounters m_counters;
  event_loop::ReceivedBatch m_received;
  event_loop::SendBatch m_sending;
  // Packets that m_sending refers to and that are in no receive buffer. A
  // deque, because m_sending needs stable addresses.
  std::deque<std::vector<std::uint8_t>> m_owned_packets;
  asio::io_context m_context{1};
  asio::ip::udp::socket m_socket{m_context};
  asio::steady_timer m_advance_timer{m_context};
  SilenceHandler m_on_silence;
  std::thread m_thread;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_TRAFFIC_LOOP_H_
