#include "packet_loop.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "LibBase/overloaded.h"
#include "LibEventLoop/datagram_socket.h"
#include "platform/request_id.h"

namespace edge {

namespace {

// The buffer holds the packets of a few hundred milliseconds at the rates of
// one VM. It counts as memory of the process.
constexpr int kSocketBufferBytes = 1 << 20;
// The number of batches that are handled before timers and store responses run.
constexpr int kMaximumBatches = 8;
// The number of openings that are saved for a resend. While that many are
// saved, the balancer does not resend other openings.
constexpr std::size_t kMaximumOpenings = 4096;

}  // namespace

base::Outcome<std::unique_ptr<PacketLoop>> PacketLoop::Create(
    asio::io_context& context,
    base::Endpoint listen,
    std::uint16_t caller_port,
    steering::Steering& steering,
    DecisionLog& log,
    EdgeMetrics& metrics,
    ViewVersionQuery view,
    BatchHandler on_batch) {
  std::unique_ptr<PacketLoop> loop(
      new PacketLoop(context, caller_port, steering, log, metrics,
                     std::move(view), std::move(on_batch)));
  if (const auto error = event_loop::OpenDatagramSocket(loop->m_socket, listen))
    return error;
  // The system may limit the size; a smaller buffer is not an error.
  std::error_code ignored;
  loop->m_socket.set_option(
      asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  return loop;
}

PacketLoop::PacketLoop(asio::io_context& context,
                       std::uint16_t caller_port,
                       steering::Steering& steering,
                       DecisionLog& log,
                       EdgeMetrics& metrics,
                       ViewVersionQuery view,
                       BatchHandler on_batch)
    : m_socket(context),
      m_resend_timer(context),
      m_caller_port(caller_port),
      m_steering(steering),
      m_log(log),
      m_metrics(metrics),
      m_view_version(std::move(view)),
      m_on_batch(std::move(on_batch)) {}

void PacketLoop::SendDueResends() {
  // On a busy processor, packets that make a resend unnecessary may still wait
  // in the socket.
  ReceivePackets();
  const base::TimePoint now = base::Clock::now();
  const ViewVersion view = m_view_version();
  for (const steering::OpeningResend& resend : m_steering.PopDueResends(now)) {
    const auto saved = m_openings.find(resend.m_flow);
    if (saved == m_openings.end())
      continue;
    m_metrics.CountDecision(resend.m_decision);
    m_log.WriteResend(resend, view, now);
    if (m_sending.IsFull())
      Flush();
    Forward(std::get<steering::Forward>(resend.m_decision.m_action),
            saved->second);
  }
  Flush();
  ArmResendTimer();
}

std::size_t PacketLoop::HandlePendingPackets() {
  const auto pending = m_pending_packets.ReleaseUnexpired(base::Clock::now());
  HandlePackets(pending, Wait::kFirstView);
  return pending.size();
}

void PacketLoop::HandlePacketsAwaitingView() {
  if (m_packets_awaiting_view.size() > 0)
    HandlePackets(m_packets_awaiting_view.ReleaseUnexpired(base::Clock::now()),
                  Wait::kNewerView);
}

void PacketLoop::HandlePackets(
    const std::vector<steering::PendingPackets::Packet>& packets,
    Wait wait) {
  const base::TimePoint now = base::Clock::now();
  const ViewVersion view = m_view_version();
  for (const steering::PendingPackets::Packet& packet : packets) {
    if (m_sending.IsFull())
      Flush();
    HandleDatagram(packet.m_bytes, view, wait, packet.m_received_at, now);
  }
  // The packets to send refer to the bytes of `packets`.
  Flush();
  ArmResendTimer();
}

void PacketLoop::Sweep() {
  std::erase_if(m_openings, [this](const auto& entry) {
    const auto& flows = m_steering.tracker().flows();
    const auto found = flows.find(entry.first);
    return found == flows.end() || !found->second.m_resend_at;
  });
}

void PacketLoop::WaitForPackets() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read,
                      [this](const std::error_code& error) {
                        if (error)
                          return;
                        ReceivePackets();
                        WaitForPackets();
                      });
}

void PacketLoop::ReceivePackets() {
  const ViewVersion view = m_view_version();
  for (int batch = 0; batch < kMaximumBatches; ++batch) {
    if (!m_received.Receive(m_socket.native_handle()))
      break;
    const base::TimePoint now = base::Clock::now();
    m_last_packet = now;
    for (std::size_t index = 0; index < m_received.size(); ++index) {
      if (m_sending.IsFull())
        Flush();
      HandleDatagram(m_received.Bytes(index), view, Wait::kNone, now, now);
    }
    // The packets to send refer to the bytes of the received batch.
    Flush();
    m_metrics.RecordDecisionTime(base::Clock::now() - now, m_received.size());
    if (m_received.size() < event_loop::kBatchSize)
      break;
  }
  m_on_batch(base::Clock::now());
  ArmResendTimer();
}

void PacketLoop::HandleDatagram(std::span<const std::uint8_t> datagram,
                                const ViewVersion& view,
                                Wait wait,
                                base::TimePoint received_at,
                                base::TimePoint now) {
  const auto packet = adapter::DecodePacket(datagram);
  if (!packet) {
    m_metrics.CountDiscarded(packet.error().message());
    return;
  }
  if (!m_steering.HasRoutesAndServers()) {
    m_pending_packets.AddPacket(datagram, received_at);
    return;
  }
  steering::Decision decision = m_steering.Handle(packet.value(), now);
  const bool is_unknown = decision.m_reason == steering::Reason::kUnknownToken;
  if (is_unknown && !m_steering.AreServersComplete()) {
    m_pending_packets.AddPacket(datagram, received_at);
    return;
  }
  const bool may_be_allowed =
      is_unknown || decision.m_reason == steering::Reason::kDenialNotConfirmed;
  if (may_be_allowed && m_on_newer_view_needed &&
      now - received_at < steering::PendingPackets::kMaximumViewWait) {
    m_packets_awaiting_view.AddPacket(datagram, received_at);
    m_on_newer_view_needed(decision.m_needed_as_of, now);
    return;
  }
  if (wait == Wait::kNewerView &&
      decision.m_reason == steering::Reason::kTokenFollowed)
    decision.m_reason = steering::Reason::kAllowedByNewerView;
  m_metrics.CountDecision(decision);
  m_log.Write(packet.value(),
              adapter::FindRequestId(adapter::PayloadOf(datagram)), decision,
              view, now);
  std::visit(base::Overloaded{
                 [&](const steering::Forward& forward) {
                   if (packet.value().m_is_opening)
                     SaveOpening(packet.value().m_flow, datagram);
                   Forward(forward, datagram);
                 },
                 [&](const steering::Reset& reset) {
                   Reset(packet.value().m_flow, reset);
                 },
                 [](const steering::Drop&) {},
             },
             decision.m_action);
}

void PacketLoop::SaveOpening(const flow::FlowKey& flow,
                             std::span<const std::uint8_t> datagram) {
  if (datagram.size() != adapter::kPacketHeaderBytes ||
      m_openings.size() >= kMaximumOpenings)
    return;
  adapter::PacketHeader& header = m_openings[flow];
  std::copy(datagram.begin(), datagram.end(), header.begin());
}

void PacketLoop::Forward(const steering::Forward& forward,
                         std::span<const std::uint8_t> datagram) {
  const steering::ServerRecord& server = forward.m_server->m_record;
  const adapter::IdentityPrefix identity =
      adapter::EncodeIdentity(server.m_identity);
  const adapter::PacketHeader header =
      adapter::MakeHeaderWithToken(datagram, forward.m_token);
  std::array<std::uint8_t,
             adapter::kIdentityBytes + adapter::kPacketHeaderBytes>
      prefix{};
  std::copy(header.begin(), header.end(),
            std::copy(identity.begin(), identity.end(), prefix.begin()));
  m_sending.Add(server.m_endpoint, prefix, adapter::PayloadOf(datagram));
}

void PacketLoop::Reset(const flow::FlowKey& flow,
                       const steering::Reset& reset) {
  const adapter::PacketHeader header =
      adapter::EncodeReset(flow, reset.m_sequence);
  m_sending.Add({flow.m_caller.m_address, m_caller_port}, header, {});
}

void PacketLoop::Flush() {
  const std::size_t failed = m_sending.Flush(m_socket.native_handle());
  for (std::size_t i = 0; i < failed; ++i)
    m_metrics.CountDiscarded("send_failed");
}

void PacketLoop::ArmResendTimer() {
  const auto next = m_steering.NextResendAt();
  if (!next || m_resend_timer.expiry() == *next)
    return;
  m_resend_timer.expires_at(*next);
  m_resend_timer.async_wait([this](const std::error_code& error) {
    if (!error)
      SendDueResends();
  });
}

}  // namespace edge
