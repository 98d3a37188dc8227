#include "route_prober.h"

#include <chrono>
#include <stdexcept>

#include "edge_fleet.h"
#include "invariant_checker.h"
#include "network.h"
#include "soak_packet.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kFirstPort = 1024;
// The time after which a caller gives up an opening.
constexpr base::Duration kAnswerTime = milliseconds(1400);
// Relative to the end of the bound.
constexpr base::Duration kProbeDelays[] = {milliseconds(100), milliseconds(600),
                                           milliseconds(1600)};

}  // namespace

RouteProber::RouteProber(stand_ins::EventLoop* loop,
                         InvariantChecker* checker,
                         const EdgeFleet* fleet,
                         base::Ipv4Address address)
    : m_loop(loop),
      m_checker(checker),
      m_fleet(fleet),
      m_address(address),
      m_next_port(kFirstPort) {
  auto port =
      stand_ins::UdpPort::Open(&loop->Context(), {address, kPacketPort});
  if (!port)
    throw std::runtime_error("cannot bind " + ToString(address));
  m_port = std::move(port.value());
  m_port->StartReceiving([this](auto datagram, base::Endpoint source) {
    Handle(datagram, source);
  });
}

void RouteProber::ProbeAfterBound(base::Endpoint route, bool is_added) {
  const base::TimePoint bound_end =
      stand_ins::EventLoop::Now() + m_checker->ChangeDeadline();
  for (const base::Duration delay : kProbeDelays)
    m_loop->Timers().SubscribeOnce(
        bound_end + delay,
        [this, route, is_added](base::TimePoint) { Probe(route, is_added); });
}

void RouteProber::Probe(base::Endpoint route, bool is_added) {
  for (const base::Endpoint edge : m_fleet->ReadyEdges()) {
    SoakPacket packet;
    packet.m_source = {m_address, m_next_port};
    packet.m_destination = route;
    packet.m_flags = kSyn;
    packet.m_sequence = m_next_port;
    m_next_port = m_next_port == UINT16_MAX ? kFirstPort : m_next_port + 1;
    ++m_sent;
    if (is_added) {
      const flow::FlowKey flow{packet.m_source, route};
      m_waiting.insert(flow);
      m_loop->Timers().SubscribeOnce(stand_ins::EventLoop::Now() + kAnswerTime,
                                     [this, flow, edge](base::TimePoint) {
                                       CheckAnswered(flow, edge.m_address);
                                     });
    }
    m_port->Send(Encode(packet), edge);
  }
}

void RouteProber::CheckAnswered(const flow::FlowKey& flow,
                                base::Ipv4Address edge) {
  if (m_waiting.contains(flow))
    m_checker->OnProbeUnanswered(flow, edge, stand_ins::EventLoop::Now());
}

void RouteProber::Handle(stand_ins::UdpPort::Bytes datagram,
                         base::Endpoint source) {
  const auto packet = Decode(datagram);
  if (!packet) {
    m_checker->OnPacketCorrupted("a prober");
    return;
  }
  const flow::FlowKey flow{packet->m_destination, packet->m_source};
  m_waiting.erase(flow);
  if (packet->Has(kRst) && packet->m_checksum == 0)
    m_checker->OnReset(flow, source.m_address, false,
                       stand_ins::EventLoop::Now());
}

}  // namespace soak
