#include "soak_caller.h"

#include <chrono>
#include <stdexcept>
#include <utility>

#include "invariant_checker.h"
#include "network.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kFirstRetransmission = milliseconds(200);
constexpr base::Duration kRequestTimeout = milliseconds(1500);
constexpr int kMaximumRequests = 8;
constexpr int kMaximumPauseMs = 250;
constexpr std::uint16_t kFirstPort = 1024;

}  // namespace

SoakCaller::SoakCaller(stand_ins::EventLoop* loop,
                       InvariantChecker* checker,
                       base::Ipv4Address address,
                       std::uint64_t seed,
                       Router router,
                       RouteSource routes)
    : m_loop(loop),
      m_checker(checker),
      m_random(seed),
      m_router(std::move(router)),
      m_routes(std::move(routes)) {
  auto port =
      stand_ins::UdpPort::Open(&loop->Context(), {address, kPacketPort});
  if (!port)
    throw std::runtime_error("cannot bind " + ToString(address));
  m_port = std::move(port.value());
  m_flow.m_caller = {address, kFirstPort};
  m_port->StartReceiving([this](auto datagram, base::Endpoint source) {
    Handle(datagram, source);
  });
  Schedule(milliseconds(m_random.Below(kMaximumPauseMs)),
           &SoakCaller::OpenFlow);
}

void SoakCaller::OpenFlow() {
  ++m_flow.m_caller.m_port;
  m_flow.m_service = m_routes();
  m_state = State::kOpening;
  m_token = 0;
  m_sequence = static_cast<std::uint32_t>(m_random.Next());
  m_acknowledgement = 0;
  m_requests_left = 1 + static_cast<int>(m_random.Below(kMaximumRequests));
  m_sent_at = stand_ins::EventLoop::Now();
  m_retransmit_after = kFirstRetransmission;
  Send(kSyn);
  Schedule(m_retransmit_after, &SoakCaller::Retransmit);
}

void SoakCaller::SendRequest() {
  m_state = State::kWaiting;
  m_request_id = ToString(m_flow.m_caller.m_address) + "-" +
                 std::to_string(m_next_request++);
  m_request = "GET / HTTP/1.1\r\nRequest-Id: " + m_request_id + "\r\n\r\n";
  m_sent_at = stand_ins::EventLoop::Now();
  m_retransmit_after = kFirstRetransmission;
  Send(kAck, m_request);
  Schedule(m_retransmit_after, &SoakCaller::Retransmit);
}

void SoakCaller::Retransmit() {
  if (stand_ins::EventLoop::Now() - m_sent_at >= kRequestTimeout) {
    EndRequest(false);
    return;
  }
  m_state == State::kOpening ? Send(kSyn) : Send(kAck, m_request);
  m_retransmit_after *= 2;
  Schedule(std::min(m_retransmit_after, kRequestTimeout),
           &SoakCaller::Retransmit);
}

void SoakCaller::Handle(stand_ins::UdpPort::Bytes datagram,
                        base::Endpoint source) {
  const auto packet = Decode(datagram);
  if (!packet) {
    m_checker->OnPacketCorrupted("a caller");
    return;
  }
  const bool is_from_balancer = packet->m_checksum == 0 && packet->Has(kRst);
  if (!is_from_balancer && !packet->HasValidChecksum()) {
    m_checker->OnPacketCorrupted("a caller");
    return;
  }
  if (packet->m_destination != m_flow.m_caller ||
      packet->m_source != m_flow.m_service)
    return;
  if (m_state == State::kEnded)
    return;
  if (packet->Has(kRst)) {
    HandleReset(*packet, source);
    return;
  }
  m_token = packet->m_token;
  if (m_state == State::kOpening && packet->Has(kSyn)) {
    m_sequence = packet->m_acknowledgement;
    m_acknowledgement = packet->m_sequence + 1;
    Send(kAck);
    SendRequest();
    return;
  }
  if (!packet->m_payload.empty())
    HandleAnswer(*packet);
}

void SoakCaller::HandleReset(const SoakPacket& packet, base::Endpoint source) {
  const bool is_from_balancer = packet.m_checksum == 0;
  if (is_from_balancer)
    m_checker->OnReset(m_flow, source.m_address, m_state != State::kOpening,
                       stand_ins::EventLoop::Now());
  EndRequest(false);
}

void SoakCaller::HandleAnswer(const SoakPacket& packet) {
  if (m_state != State::kWaiting || packet.m_sequence != m_acknowledgement) {
    Send(kAck);
    return;
  }
  if (packet.m_payload != "200 " + m_request)
    m_checker->OnPacketCorrupted("a caller: the answer to another request");
  m_acknowledgement += static_cast<std::uint32_t>(packet.m_payload.size());
  m_sequence += static_cast<std::uint32_t>(m_request.size());
  Send(kAck);
  EndRequest(true);
}

void SoakCaller::EndRequest(bool is_served) {
  m_checker->OnRequestEnded(is_served, m_sent_at);
  if (is_served && --m_requests_left > 0) {
    m_state = State::kPausing;
    Schedule(milliseconds(m_random.Below(kMaximumPauseMs)),
             &SoakCaller::SendRequest);
    return;
  }
  if (is_served)
    Send(kFin | kAck);
  m_checker->OnFlowEnded(m_flow);
  m_state = State::kEnded;
  Schedule(milliseconds(1 + m_random.Below(kMaximumPauseMs)),
           &SoakCaller::OpenFlow);
}

void SoakCaller::Send(std::uint8_t flags, const std::string& payload) {
  const auto edge = m_router(m_flow);
  if (!edge)
    return;
  SoakPacket packet;
  packet.m_source = m_flow.m_caller;
  packet.m_destination = m_flow.m_service;
  packet.m_token = m_token;
  packet.m_flags = flags;
  packet.m_sequence = m_sequence;
  packet.m_acknowledgement = m_acknowledgement;
  packet.m_payload = payload;
  m_port->Send(Encode(packet), *edge);
}

void SoakCaller::Schedule(base::Duration delay, void (SoakCaller::*step)()) {
  if (m_timer)
    m_loop->Timers().Cancel(*m_timer);
  m_timer = m_loop->Timers().SubscribeOnce(
      stand_ins::EventLoop::Now() + delay,
      [this, step](base::TimePoint) { (this->*step)(); });
}

}  // namespace soak
