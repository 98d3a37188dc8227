// Receives callers' packets, has the steering decide about each, and forwards
// packets to servers or sends resets to callers.

#ifndef SERVICES_EDGE_PACKET_LOOP_H_
#define SERVICES_EDGE_PACKET_LOOP_H_

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/time.h"
#include "LibEventLoop/datagram_batch.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/pending_packets.h"
#include "LibSteering/steering.h"
#include "decision_log.h"
#include "edge_metrics.h"
#include "platform/packet_codec.h"

namespace edge {

class PacketLoop {
 public:
  using ViewVersionQuery = std::function<ViewVersion()>;
  // Called after packets were handled. They may have made servers suspected, so
  // that probes are due.
  using BatchHandler = std::function<void(base::TimePoint now)>;
  // Called when a newer view may allow the flow of a packet. If the view denies
  // the flow, one that contains all changes made before `needed_as_of` decides.
  // Otherwise the packet has a token that no known server has: another balancer
  // placed the flow on a server that this one does not know yet.
  using NewerViewHandler =
      std::function<void(std::optional<base::TimePoint> needed_as_of,
                         base::TimePoint now)>;

  // Binds the socket; errors are those of the system. Callers receive packets
  // at `caller_port`. The references must outlive the loop.
  static base::Outcome<std::unique_ptr<PacketLoop>> Create(
      asio::io_context& context,
      base::Endpoint listen,
      std::uint16_t caller_port,
      steering::Steering& steering,
      DecisionLog& log,
      EdgeMetrics& metrics,
      ViewVersionQuery view,
      BatchHandler on_batch);
  PacketLoop(const PacketLoop&) = delete;
  PacketLoop& operator=(const PacketLoop&) = delete;

  // Queries.
  // When the last packet arrived.
  base::TimePoint LastPacket() const { return m_last_packet; }

  // Commands.
  void Start() { WaitForPackets(); }
  void SetNewerViewHandler(NewerViewHandler handler) {
    m_on_newer_view_needed = std::move(handler);
  }
  // Sends each opening whose resend is due to a further server.
  void SendDueResends();
  // Handles the packets that arrived before routes and servers were known.
  // Returns how many.
  std::size_t HandlePendingPackets();
  // Handles the packets whose flows a newer view may allow. To be called when
  // the view has changed or was confirmed, and to give up waiting.
  void HandlePacketsAwaitingView();
  // Removes the saved openings that will not be resent.
  void Sweep();

 private:
  PacketLoop(asio::io_context& context,
             std::uint16_t caller_port,
             steering::Steering& steering,
             DecisionLog& log,
             EdgeMetrics& metrics,
             ViewVersionQuery view,
             BatchHandler on_batch);

  using Openings = std::unordered_map<flow::FlowKey,
                                      adapter::PacketHeader,
                                      steering::FlowTracker::FlowHash>;

  // What a packet has waited for before it is handled.
  enum class Wait { kNone, kFirstView, kNewerView };

  void WaitForPackets();
  void ReceivePackets();
  void HandlePackets(
      const std::vector<steering::PendingPackets::Packet>& packets,
      Wait wait);
  void HandleDatagram(std::span<const std::uint8_t> datagram,
                      const ViewVersion& view,
                      Wait wait,
                      base::TimePoint received_at,
                      base::TimePoint now);
  // Saves the header of an opening for a resend.
  void SaveOpening(const flow::FlowKey& flow,
                   std::span<const std::uint8_t> datagram);
  void Forward(const steering::Forward& forward,
               std::span<const std::uint8_t> datagram);
  void Reset(const flow::FlowKey& flow, const steering::Reset& reset);
  void Flush();
  void ArmResendTimer();

  asio::ip::udp::socket m_socket;
  asio::steady_timer m_resend_timer;
  std::uint16_t m_caller_port;
  steering::Steering& m_steering;
  DecisionLog& m_log;
  EdgeMetrics& m_metrics;
  ViewVersionQuery m_view_version;
  BatchHandler m_on_batch;
  event_loop::ReceivedBatch m_received;
  event_loop::SendBatch m_sending;
  // The openings that may be resent to a further server.
  Openings m_openings;
  steering::PendingPackets m_pending_packets;
  steering::PendingPackets m_packets_awaiting_view;
  NewerViewHandler m_on_newer_view_needed;
  base::TimePoint m_last_packet;
};

}  // namespace edge

#endif  // SERVICES_EDGE_PACKET_LOOP_H_
