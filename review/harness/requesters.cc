#include "requesters.h"

#include <unistd.h>

#include <algorithm>
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

constexpr std::int64_t kFirstCopyMs = 200;
constexpr std::int64_t kSecondCopyMs = 600;
constexpr std::int64_t kOpeningLimitMs = 1400;
constexpr std::int64_t kFirstRetransmissionMs = 200;
constexpr std::int64_t kLongestRetransmissionMs = 1600;
constexpr std::int64_t kTimeLimitMs = 2000;
constexpr std::size_t kMaximumDatagramBytes = 2048;
// A reset counts on an open flow if its `seq` is this close to the last `ack`.
constexpr std::int32_t kResetWindow = 76'800;

}  // namespace

Requesters::Requesters(Loop& loop,
                       Record& record,
                       const Network& network,
                       Router router,
                       ResetHandler on_reset)
    : m_loop(loop),
      m_record(record),
      m_endpoint(network.Requester()),
      m_router(std::move(router)),
      m_on_reset(std::move(on_reset)),
      m_socket(BindDatagramSocket(m_endpoint)) {
  loop.Add(m_socket, [this] { Receive(); });
}

Requesters::~Requesters() {
  m_loop.Remove(m_socket);
  close(m_socket);
}

int Requesters::Count(End end) const {
  const auto found = m_counts.find(end);
  return found == m_counts.end() ? 0 : found->second;
}

std::optional<std::int64_t> Requesters::SentAt(const flow::FlowKey& key) const {
  const auto found = m_sent_at.find(key);
  return found == m_sent_at.end() ? std::nullopt : std::optional(found->second);
}

void Requesters::Open(base::Endpoint route,
                      const std::string& zone,
                      int requests,
                      std::int64_t pause_ms) {
  const flow::FlowKey key{{m_endpoint.m_address, m_next_port++}, route};
  Flow& flow = m_flows[key];
  flow.m_zone = zone;
  flow.m_requests_left = requests;
  flow.m_pause_ms = pause_ms;
  flow.m_sequence =
      static_cast<std::uint32_t>(base::MixBits(flow::HashFlow(key)));
  flow.m_started_at = Loop::Now();
  m_sent_at[key] = flow.m_started_at;
  m_record.Write("syn", ToString(key.m_caller) + " to " + ToString(route));
  SendOpening(key);
  for (const std::int64_t delay : {kFirstCopyMs, kSecondCopyMs})
    m_loop.After(delay, [this, key] {
      const auto found = m_flows.find(key);
      if (found != m_flows.end() && found->second.m_state == State::kOpening)
        SendOpening(key);
    });
  m_loop.After(kOpeningLimitMs, [this, key] {
    const auto found = m_flows.find(key);
    if (found != m_flows.end() && found->second.m_state == State::kOpening)
      Finish(key, End::kTimedOut);
  });
}

void Requesters::SendOpening(const flow::FlowKey& key) {
  Flow& flow = m_flows[key];
  flow.m_acknowledgement = flow.m_copies++;
  Send(key, flow, kSyn);
}

void Requesters::SendRequest(const flow::FlowKey& key) {
  Flow& flow = m_flows[key];
  flow.m_state = State::kWaiting;
  flow.m_id = "q" + std::to_string(m_next_id++);
  flow.m_text = "POST / HTTP/1.1\r\nRequest-Id: " + flow.m_id +
                "\r\nContent-Length: 0\r\n\r\n";
  flow.m_started_at = Loop::Now();
  m_record.Write("sent", flow.m_id + " on " + ToString(key.m_caller) + " to " +
                             ToString(key.m_service));
  Send(key, flow, kAck, flow.m_text);
  const std::uint64_t step = ++flow.m_step;
  m_loop.After(kFirstRetransmissionMs, [this, key, step] {
    Retransmit(key, step, kFirstRetransmissionMs * 2);
  });
}

void Requesters::Retransmit(const flow::FlowKey& key,
                            std::uint64_t step,
                            std::int64_t interval) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end() || found->second.m_step != step)
    return;
  if (Loop::Now() - found->second.m_started_at >= kTimeLimitMs) {
    Finish(key, End::kTimedOut);
    return;
  }
  Send(key, found->second, kAck, found->second.m_text);
  m_loop.After(interval, [this, key, step, interval] {
    Retransmit(key, step, std::min(interval * 2, kLongestRetransmissionMs));
  });
}

void Requesters::Receive() {
  std::array<std::uint8_t, kMaximumDatagramBytes> buffer{};
  base::Endpoint from;
  const auto bytes = ReceiveDatagram(m_socket, buffer, from);
  if (bytes < 0)
    return;
  const auto packet = soak::Decode(std::span<const std::uint8_t>(
      buffer.data(), static_cast<std::size_t>(bytes)));
  if (packet)
    Handle(*packet, from.m_address);
}

void Requesters::Handle(const SoakPacket& packet, base::Ipv4Address from) {
  const flow::FlowKey key{packet.m_destination, packet.m_source};
  const bool is_from_balancer = packet.m_checksum == 0 && packet.Has(kRst);
  if (!is_from_balancer && !packet.HasValidChecksum()) {
    m_record.WriteBreach("MIXED", "a changed packet at a requester");
    return;
  }
  const auto found = m_flows.find(key);
  if (found == m_flows.end())
    return;
  Flow& flow = found->second;
  if (packet.Has(kRst)) {
    HandleReset(packet, from, flow);
    return;
  }
  if (flow.m_state == State::kOpening) {
    if (!packet.Has(kSyn))
      return;
    flow.m_token = packet.m_token;
    flow.m_sequence = packet.m_acknowledgement;
    flow.m_acknowledgement = packet.m_sequence + 1;
    Send(key, flow, kAck);
    SendRequest(key);
    return;
  }
  // The SYN+ACK of another server is no packet of the open flow.
  if (packet.Has(kSyn))
    return;
  flow.m_token = packet.m_token;
  if (packet.m_payload.empty())
    return;
  if (flow.m_state != State::kWaiting ||
      packet.m_sequence != flow.m_acknowledgement) {
    Send(key, flow, kAck);
    return;
  }
  if (packet.m_payload != "200 " + flow.m_id)
    m_record.WriteBreach("MIXED", flow.m_id + " got another answer");
  m_record.Write("answered", flow.m_id);
  flow.m_acknowledgement += static_cast<std::uint32_t>(packet.m_payload.size());
  flow.m_sequence += static_cast<std::uint32_t>(flow.m_text.size());
  ++flow.m_step;
  if (packet.Has(kFin) || --flow.m_requests_left <= 0) {
    Send(key, flow, kFin | kAck);
    Finish(key, End::kServed);
    return;
  }
  Send(key, flow, kAck);
  ++m_counts[End::kServed];
  flow.m_state = State::kPausing;
  m_loop.After(flow.m_pause_ms, [this, key] {
    if (m_flows.contains(key))
      SendRequest(key);
  });
}

void Requesters::HandleReset(const SoakPacket& packet,
                             base::Ipv4Address from,
                             Flow& flow) {
  const flow::FlowKey key{packet.m_destination, packet.m_source};
  const bool is_open = flow.m_state != State::kOpening;
  const auto distance =
      static_cast<std::int32_t>(packet.m_sequence - flow.m_acknowledgement);
  if (is_open && (distance > kResetWindow || distance < -kResetWindow))
    return;
  const bool is_from_balancer = packet.m_checksum == 0;
  m_record.Write(
      "reset", ToString(key.m_caller) + " to " + ToString(key.m_service) +
                   " by " + ToString(from) + (is_open ? " open" : " opening"));
  m_on_reset(key, is_from_balancer ? std::optional(from) : std::nullopt,
             is_open);
  Finish(key, End::kReset);
}

void Requesters::Finish(const flow::FlowKey& key, End end) {
  if (end == End::kTimedOut)
    m_record.Write("unanswered",
                   ToString(key.m_caller) + " to " + ToString(key.m_service));
  ++m_counts[end];
  m_flows.erase(key);
}

void Requesters::Send(const flow::FlowKey& key,
                      const Flow& flow,
                      std::uint8_t flags,
                      const std::string& payload) {
  const auto machine = m_router(key, flow.m_zone);
  if (!machine)
    return;
  SoakPacket packet;
  packet.m_source = key.m_caller;
  packet.m_destination = key.m_service;
  packet.m_token = flow.m_token;
  packet.m_flags = flags;
  packet.m_sequence = flow.m_sequence;
  packet.m_acknowledgement = flow.m_acknowledgement;
  packet.m_payload = payload;
  SendDatagram(m_socket, *machine, soak::Encode(packet));
}

}  // namespace review
