#include "soak_server.h"

#include <chrono>
#include <stdexcept>

#include "LibBase/asio_endpoint.h"
#include "invariant_checker.h"
#include "network.h"

namespace soak {

namespace {

constexpr std::size_t kIdentityBytes = 8;
constexpr int kMinimumServiceTimeMs = 5;
constexpr int kServiceTimeRangeMs = 60;

flow::FlowKey KeyOf(const SoakPacket& packet) {
  return {packet.m_source, packet.m_destination};
}

}  // namespace

SoakServer::SoakServer(stand_ins::EventLoop* loop,
                       InvariantChecker* checker,
                       Identity identity,
                       std::uint64_t seed)
    : m_loop(loop),
      m_checker(checker),
      m_identity(std::move(identity)),
      m_random(seed),
      m_acceptor(loop->Context(),
                 base::ToAsio<asio::ip::tcp>(m_identity.m_endpoint),
                 true) {
  auto port = stand_ins::UdpPort::Open(&loop->Context(), m_identity.m_endpoint);
  if (!port)
    throw std::runtime_error("cannot bind " + ToString(m_identity.m_endpoint));
  m_port = std::move(port.value());
  m_port->StartReceiving(
      [this](auto datagram, base::Endpoint edge) { Handle(datagram, edge); });
  Accept();
}

std::string SoakServer::NextSpec(const std::string& state) {
  if (!state.empty())
    m_state = state;
  return R"({"backend":")" + m_identity.m_service + R"(","address":")" +
         ToString(m_identity.m_endpoint) + R"(","zone":")" +
         m_identity.m_data_centre +
         R"(","version":"v1","max_concurrency":3,"state":")" + m_state +
         R"(","warmup_left_ms":0,"seq":)" + std::to_string(++m_sequence) +
         R"(,"born":)" + std::to_string(m_identity.m_born) + "}";
}

// Accepts the balancers' TCP health probes and closes them.
void SoakServer::Accept() {
  m_acceptor.async_accept(
      [this](const std::error_code& error, const asio::ip::tcp::socket&) {
        if (!error)
          Accept();
      });
}

void SoakServer::Handle(stand_ins::UdpPort::Bytes datagram,
                        base::Endpoint edge) {
  if (datagram.size() < kIdentityBytes)
    return;
  std::uint64_t number = 0;
  for (const std::uint8_t byte : datagram.first(kIdentityBytes))
    number = (number << 8) | byte;
  if (number != 0 && number != m_identity.m_number)
    return;
  const auto packet = Decode(datagram.subspan(kIdentityBytes));
  if (!packet || !packet->HasValidChecksum()) {
    m_checker->OnPacketCorrupted(m_identity.m_name);
    return;
  }
  if (packet->Has(kSyn))
    HandleOpening(*packet, edge);
  else
    HandleNonOpening(*packet);
}

void SoakServer::HandleOpening(const SoakPacket& packet, base::Endpoint edge) {
  const auto [entry, is_new] = m_flows.try_emplace(KeyOf(packet));
  Flow& flow = entry->second;
  if (is_new) {
    m_checker->OnOpeningAccepted(m_identity.m_name, m_identity.m_service,
                                 edge.m_address, KeyOf(packet),
                                 stand_ins::EventLoop::Now());
    flow.m_sequence = static_cast<std::uint32_t>(m_random.Next());
    flow.m_expected = packet.m_sequence + 1;
  }
  Send(packet, kSyn | kAck, flow.m_sequence, flow.m_expected);
}

void SoakServer::HandleNonOpening(const SoakPacket& packet) {
  const auto entry = m_flows.find(KeyOf(packet));
  const bool is_known =
      entry != m_flows.end() &&
      (entry->second.m_is_open ||
       packet.m_acknowledgement == entry->second.m_sequence + 1);
  if (!is_known) {
    m_checker->OnMisroutedPacket(m_identity.m_name, KeyOf(packet));
    Send(packet, kRst, packet.m_acknowledgement, 0);
    return;
  }
  Flow& flow = entry->second;
  if (!flow.m_is_open) {
    flow.m_is_open = true;
    ++flow.m_sequence;
    m_checker->OnFlowOpened(m_identity.m_name, KeyOf(packet),
                            stand_ins::EventLoop::Now());
  }
  if (packet.Has(kFin)) {
    Send(packet, kFin | kAck, flow.m_sequence, packet.m_sequence + 1);
    m_checker->OnFlowEnded(KeyOf(packet));
    m_flows.erase(entry);
    return;
  }
  if (!packet.m_payload.empty())
    HandleData(packet, flow);
}

void SoakServer::HandleData(const SoakPacket& packet, Flow& flow) {
  if (packet.m_sequence != flow.m_expected) {
    if (packet.m_sequence == flow.m_answered_sequence && !flow.m_answer.empty())
      Send(packet, kAck,
           flow.m_sequence - static_cast<std::uint32_t>(flow.m_answer.size()),
           flow.m_expected, flow.m_answer);
    return;
  }
  flow.m_expected += static_cast<std::uint32_t>(packet.m_payload.size());
  const std::string& text = packet.m_payload;
  const std::size_t start = text.find("Request-Id: ") + 12;
  m_checker->OnRequestExecuted(
      text.substr(start, text.find('\r', start) - start));
  const auto service_time = std::chrono::milliseconds(
      kMinimumServiceTimeMs +
      static_cast<int>(m_random.Below(kServiceTimeRangeMs)));
  m_loop->Timers().SubscribeOnce(
      stand_ins::EventLoop::Now() + service_time + m_extra_service_time,
      [this, packet, alive = std::weak_ptr<bool>(m_lifetime)](base::TimePoint) {
        if (!alive.expired())
          SendAnswer(packet);
      });
}

void SoakServer::SendAnswer(const SoakPacket& packet) {
  const auto entry = m_flows.find(KeyOf(packet));
  if (entry == m_flows.end())
    return;
  Flow& flow = entry->second;
  flow.m_answered_sequence = packet.m_sequence;
  flow.m_answer = "200 " + packet.m_payload;
  Send(packet, kAck, flow.m_sequence, flow.m_expected, flow.m_answer);
  flow.m_sequence += static_cast<std::uint32_t>(flow.m_answer.size());
}

void SoakServer::Send(const SoakPacket& to,
                      std::uint8_t flags,
                      std::uint32_t sequence,
                      std::uint32_t acknowledgement,
                      const std::string& payload) {
  SoakPacket packet;
  packet.m_source = to.m_destination;
  packet.m_destination = to.m_source;
  packet.m_token = to.m_token;
  packet.m_flags = flags;
  packet.m_sequence = sequence;
  packet.m_acknowledgement = acknowledgement;
  packet.m_payload = payload;
  m_port->Send(Encode(packet), {to.m_source.m_address, kPacketPort});
}

}  // namespace soak
