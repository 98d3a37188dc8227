#include "server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "sockets.h"

namespace review {

namespace {

using soak::kAck;
using soak::kFin;
using soak::kRst;
using soak::kSyn;
using soak::SoakPacket;

constexpr std::size_t kIdentityBytes = 8;
constexpr std::int64_t kWorkMs = 20;
constexpr std::size_t kMaximumDatagramBytes = 2048;

flow::FlowKey KeyOf(const SoakPacket& packet) {
  return {packet.m_source, packet.m_destination};
}

std::string RequestIdOf(const std::string& text) {
  const std::string field = "Request-Id: ";
  const std::size_t start = text.find(field) + field.size();
  return text.substr(start, text.find('\r', start) - start);
}

}  // namespace

Server::Server(Loop& loop, Record& record, Identity identity, Observer observer)
    : m_loop(loop),
      m_record(record),
      m_identity(std::move(identity)),
      m_observer(std::move(observer)),
      m_socket(BindDatagramSocket(m_identity.m_endpoint)),
      m_listener(ListenOn(m_identity.m_endpoint)) {
  loop.Add(m_socket, [this] { Receive(); });
  loop.Add(m_listener, [this] { AcceptHealthCheck(); });
}

Server::~Server() {
  for (const int descriptor : m_health_checks) {
    m_loop.Remove(descriptor);
    close(descriptor);
  }
  m_loop.Remove(m_socket);
  m_loop.Remove(m_listener);
  close(m_socket);
  close(m_listener);
}

std::string Server::Spec(const std::string& state) const {
  return R"({"backend":")" + m_identity.m_service + R"(","address":")" +
         ToString(m_identity.m_endpoint) + R"(","zone":")" + m_identity.m_zone +
         R"(","version":"v1","max_concurrency":3,"state":")" + state +
         R"(","warmup_left_ms":0,"seq":1,"born":1796434667000})";
}

void Server::AcceptHealthCheck() {
  const int descriptor = AcceptConnection(m_listener);
  if (descriptor < 0)
    return;
  m_health_checks.insert(descriptor);
  m_loop.Add(descriptor, [this, descriptor] { AnswerHealthCheck(descriptor); });
}

void Server::AnswerHealthCheck(int descriptor) {
  std::array<char, kMaximumDatagramBytes> buffer{};
  if (read(descriptor, buffer.data(), buffer.size()) > 0) {
    const std::string response =
        std::string("HTTP/1.1 ") +
        (m_is_draining ? "503 Service Unavailable" : "200 OK") +
        "\r\nContent-Length: 0\r\nInstance-Id: " + m_identity.m_id + "\r\n\r\n";
    send(descriptor, response.data(), response.size(), MSG_NOSIGNAL);
  }
  m_loop.Remove(descriptor);
  m_health_checks.erase(descriptor);
  close(descriptor);
}

void Server::Receive() {
  std::array<std::uint8_t, kMaximumDatagramBytes> buffer{};
  base::Endpoint from;
  const auto bytes = ReceiveDatagram(m_socket, buffer, from);
  if (bytes < static_cast<std::int64_t>(kIdentityBytes))
    return;
  const std::span<const std::uint8_t> datagram(buffer.data(),
                                               static_cast<std::size_t>(bytes));
  std::uint64_t number = 0;
  for (const std::uint8_t byte : datagram.first(kIdentityBytes))
    number = (number << 8) | byte;
  if (number != 0 && number != m_identity.m_number)
    return;
  const auto packet = soak::Decode(datagram.subspan(kIdentityBytes));
  if (!packet || !packet->HasValidChecksum()) {
    m_record.WriteBreach("UNASKED", "a changed packet at " + m_identity.m_id);
    return;
  }
  Handle(*packet, from.m_address);
}

void Server::Handle(const SoakPacket& packet, base::Ipv4Address machine) {
  if (packet.Has(kSyn)) {
    const auto [entry, is_new] = m_flows.try_emplace(KeyOf(packet));
    Flow& flow = entry->second;
    if (is_new) {
      m_observer.m_on_opening(*this, KeyOf(packet), machine);
      flow.m_sequence = static_cast<std::uint32_t>(
          flow::HashFlow(KeyOf(packet)) + m_identity.m_number);
      flow.m_expected = packet.m_sequence + 1;
    }
    Send(packet, kSyn | kAck, flow.m_sequence, flow.m_expected);
    return;
  }
  const auto entry = m_flows.find(KeyOf(packet));
  const bool is_held =
      entry != m_flows.end() &&
      (entry->second.m_is_open ||
       packet.m_acknowledgement == entry->second.m_sequence + 1);
  if (!is_held) {
    if (!packet.Has(kRst) && !packet.Has(kFin))
      Send(packet, kRst, packet.m_acknowledgement, 0);
    return;
  }
  Flow& flow = entry->second;
  if (!flow.m_is_open) {
    flow.m_is_open = true;
    ++flow.m_sequence;
    m_record.Write("open", m_identity.m_id + " " + ToString(packet.m_source) +
                               " to " + ToString(packet.m_destination));
  }
  if (packet.Has(kFin) || packet.Has(kRst)) {
    if (packet.Has(kFin))
      Send(packet, kFin | kAck, flow.m_sequence, packet.m_sequence + 1);
    m_flows.erase(entry);
    return;
  }
  if (!packet.m_payload.empty())
    HandleData(packet, flow);
}

void Server::HandleData(const SoakPacket& packet, Flow& flow) {
  if (packet.m_sequence != flow.m_expected) {
    if (packet.m_sequence == flow.m_answered && !flow.m_answer.empty())
      Send(packet, kAck,
           flow.m_sequence - static_cast<std::uint32_t>(flow.m_answer.size()),
           flow.m_expected, flow.m_answer);
    return;
  }
  flow.m_expected += static_cast<std::uint32_t>(packet.m_payload.size());
  m_record.Write("run", RequestIdOf(packet.m_payload) + " at " +
                            m_identity.m_id + " of " + m_identity.m_service);
  m_observer.m_on_run(*this, RequestIdOf(packet.m_payload));
  m_loop.After(kWorkMs,
               [this, packet, alive = std::weak_ptr<bool>(m_is_alive)] {
                 if (!alive.expired())
                   Answer(packet);
               });
}

void Server::Answer(const SoakPacket& packet) {
  const auto entry = m_flows.find(KeyOf(packet));
  if (entry == m_flows.end())
    return;
  Flow& flow = entry->second;
  flow.m_answered = packet.m_sequence;
  flow.m_answer = "200 " + RequestIdOf(packet.m_payload);
  Send(packet, m_is_draining ? kAck | kFin : kAck, flow.m_sequence,
       flow.m_expected, flow.m_answer);
  flow.m_sequence += static_cast<std::uint32_t>(flow.m_answer.size());
}

void Server::Send(const SoakPacket& to,
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
  SendDatagram(m_socket, {to.m_source.m_address, kPacketPort},
               soak::Encode(packet));
}

}  // namespace review
