#include "traffic_loop.h"

#include <asio/post.hpp>

#include <chrono>
#include <utility>

#include "LibBalancer/packet_classifier.h"
#include "LibBase/asio_endpoint.h"
#include "LibBase/overloaded.h"
#include "LibEventLoop/datagram_socket.h"
#include "LibFlow/routing_table.h"
#include "LibWire/relay_header.h"
#include "LibWire/reset_builder.h"

namespace service {

namespace {

constexpr int kSocketBufferBytes = 8 << 20;
constexpr auto kAdvancePeriod = std::chrono::milliseconds(100);
// Batches that are handled before timers and tasks run.
constexpr int kMaximumBatchesPerTurn = 16;

}  // namespace

base::Outcome<std::unique_ptr<TrafficLoop>> TrafficLoop::Create(
    const TrafficLoopOptions& options) {
  std::unique_ptr<TrafficLoop> loop(new TrafficLoop(options));
  if (const auto error =
          event_loop::OpenDatagramSocket(loop->m_socket, options.m_listen))
    return error;
  // The system may grant smaller buffers, which is not an error.
  std::error_code ignored;
  loop->m_socket.set_option(
      asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  loop->m_socket.set_option(
      asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  loop->m_local = base::FromAsio(loop->m_socket.local_endpoint());
  return loop;
}

TrafficLoop::TrafficLoop(const TrafficLoopOptions& options)
    : m_self(options.m_self),
      m_gateway(options.m_gateway),
      m_core(options.m_flow, options.m_seed, base::Clock::now()) {}

TrafficLoop::~TrafficLoop() {
  m_context.stop();
  if (m_thread.joinable())
    m_thread.join();
}

void TrafficLoop::Start(SilenceHandler on_silence) {
  m_on_silence = std::move(on_silence);
  WaitForPackets();
  ScheduleAdvance();
  m_thread = std::thread([this] { m_context.run(); });
}

void TrafficLoop::Post(Task task) {
  asio::post(m_context, [this, task = std::move(task)] {
    task(m_core, base::Clock::now());
  });
}

void TrafficLoop::ScheduleAdvance() {
  m_advance_timer.expires_after(kAdvancePeriod);
  m_advance_timer.async_wait([this](const std::error_code& error) {
    if (error)
      return;
    Advance(base::Clock::now());
    ScheduleAdvance();
  });
}

void TrafficLoop::Advance(base::TimePoint now) {
  flow::SilenceActions actions = m_core.Advance(now);
  for (const flow::SilentFlow& silent : actions.m_silent)
    ResetFlow(silent, now);
  Flush();
  if (actions.m_request || !actions.m_replies.empty() ||
      !actions.m_silent.empty())
    m_on_silence(std::move(actions));
}

// The unanswered end has acknowledged all data up to the position that it
// expects, so its reset carries exactly that position. The other end has either
// not received the repeated payload, or its acknowledgement was lost. It
// expects the start of the payload or the end of all data, so it gets a reset
// for each.
void TrafficLoop::ResetFlow(const flow::SilentFlow& silent,
                            base::TimePoint now) {
  m_counters.Add(TrafficCounter::kFlowsReset);
  const flow::StreamPacket& repetition = silent.m_repetition;
  const bool is_caller = repetition.m_sender == flow::StreamEnd::kCaller;
  const base::Endpoint sender =
      is_caller ? repetition.m_key.m_caller : repetition.m_key.m_service;
  const base::Endpoint other =
      is_caller ? repetition.m_key.m_service : repetition.m_key.m_caller;
  const std::uint32_t start = repetition.m_position;
  const std::uint32_t end = start + silent.m_extent_bytes;
  SendAbort({other, sender, repetition.m_acknowledged, end},
            repetition.m_sender, now);
  for (const std::uint32_t position : {start, end})
    SendAbort({sender, other, position, repetition.m_acknowledged},
              flow::OtherEnd(repetition.m_sender), now);
}

void TrafficLoop::SendAbort(const wire::Abort& abort,
                            flow::StreamEnd receiver,
                            base::TimePoint now) {
  const wire::ResetPacket packet = wire::BuildAbort(abort);
  if (receiver == flow::StreamEnd::kCaller) {
    Send(m_gateway, packet, {});
    return;
  }
  if (m_sending.IsFull())
    Flush();
  m_owned_packets.emplace_back(packet.begin(), packet.end());
  HandlePacket(m_owned_packets.back(), {}, {}, now);
}

void TrafficLoop::WaitForPackets() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read,
                      [this](const std::error_code& error) {
                        if (error)
                          return;
                        ReceivePackets();
                        WaitForPackets();
                      });
}

void TrafficLoop::ReceivePackets() {
  const int socket = m_socket.native_handle();
  for (int batch = 0; batch < kMaximumBatchesPerTurn; ++batch) {
    if (!m_received.Receive(socket))
      return;
    // The clock is read after the packets, so that a process that was paused in
    // between recognises that its lease has expired.
    const base::TimePoint now = base::Clock::now();
    for (std::size_t i = 0; i < m_received.size(); ++i)
      HandleDatagram(m_received.Bytes(i), m_received.Source(i).m_address, now);
    Flush();
  }
}

void TrafficLoop::HandleDatagram(std::span<const std::uint8_t> datagram,
                                 base::Ipv4Address source,
                                 base::TimePoint now) {
  const bool is_relay = !datagram.empty() && datagram[0] == wire::kRelayMagic;
  if (!is_relay) {
    m_counters.Add(TrafficCounter::kPacketsFromFabric);
    HandlePacket(datagram, source, {}, now);
    return;
  }
  const auto header = wire::DecodeRelayHeader(datagram);
  if (!header) {
    m_counters.Add(TrafficCounter::kPacketsMalformed);
    return;
  }
  const auto purpose =
      static_cast<flow::RelayPurpose>(header.value().m_purpose);
  if (base::NameOf(flow::kRelayPurposeNames, purpose) == "unknown" ||
      purpose == flow::RelayPurpose::kNone) {
    m_counters.Add(TrafficCounter::kPacketsMalformed);
    return;
  }
  m_counters.Add(TrafficCounter::kRelaysReceived);
  HandlePacket(datagram.subspan(wire::kRelayHeaderBytes),
               header.value().m_server,
               {purpose, header.value().m_hops, header.value().m_server}, now);
}

void TrafficLoop::HandlePacket(std::span<const std::uint8_t> bytes,
                               base::Ipv4Address server,
                               flow::RelayContext relay,
                               base::TimePoint now) {
  const auto parsed = wire::PacketView::Parse(bytes);
  if (!parsed) {
    m_counters.Add(TrafficCounter::kPacketsMalformed);
    return;
  }
  const wire::PacketView& packet = parsed.value();
  if (m_core.HasService(packet.destination())) {
    m_counters.Add(TrafficCounter::kPacketsFromCallers);
    Execute(m_core.HandleCallerPacket(
                balancer::ClassifyCallerPacket(packet, relay), now),
            packet, base::Ipv4Address());
    return;
  }
  m_counters.Add(TrafficCounter::kPacketsFromServers);
  Execute(m_core.HandleServerPacket(
              balancer::ClassifyServerPacket(packet, server, relay), now),
          packet, server);
}

void TrafficLoop::Execute(const flow::Effects& effects,
                          const wire::PacketView& packet,
                          base::Ipv4Address server) {
  const base::Overloaded visitor{
      [&](const flow::ForwardToServer& forward) {
        m_counters.Add(TrafficCounter::kPacketsToServers);
        Send(forward.m_tunnel, {}, packet.bytes());
      },
      [&](const flow::ResendPacket& resend) {
        m_counters.Add(TrafficCounter::kPacketsResent);
        if (m_sending.IsFull())
          Flush();
        m_owned_packets.emplace_back(resend.m_bytes.begin(),
                                     resend.m_bytes.end());
        Send(resend.m_tunnel, {}, m_owned_packets.back());
      },
      [&](const flow::RelayToBalancer& relay) {
        m_counters.Add(TrafficCounter::kRelaysSent);
        const bool is_from_server = server != base::Ipv4Address();
        const wire::RelayHeader header{
            static_cast<std::uint8_t>(relay.m_relay.m_purpose),
            relay.m_relay.m_hops,
            is_from_server ? server : relay.m_relay.m_known_server, m_self};
        Send(relay.m_balancer, wire::EncodeRelayHeader(header), packet.bytes());
      },
      [&](const flow::DeliverToCaller&) {
        m_counters.Add(TrafficCounter::kPacketsToCallers);
        Send(m_gateway, {}, packet.bytes());
      },
      [&](const flow::RefuseOpening&) {
        m_counters.Add(TrafficCounter::kOpeningsRefused);
        Send(m_gateway, wire::BuildReset(packet), {});
      },
      [&](const flow::Drop& drop) { m_counters.AddDrop(drop.m_reason); },
      [](const flow::FlowEvent&) {}};
  for (const flow::Effect& effect : effects)
    std::visit(visitor, effect);
}

void TrafficLoop::Send(base::Endpoint destination,
                       std::span<const std::uint8_t> prefix,
                       std::span<const std::uint8_t> bytes) {
  if (m_sending.IsFull())
    Flush();
  m_sending.Add(destination, prefix, bytes);
}

void TrafficLoop::Flush() {
  const std::size_t failed = m_sending.Flush(m_socket.native_handle());
  m_owned_packets.clear();
  if (failed > 0)
    m_counters.Add(TrafficCounter::kSendFailures, failed);
}

}  // namespace service
