#include "StandIns/udp_proxy.h"

#include <utility>

#include "StandIns/event_loop.h"

namespace stand_ins {

namespace {

std::string AsText(UdpPort::Bytes bytes) {
  return {bytes.begin(), bytes.end()};
}

UdpPort::Bytes AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

}  // namespace

base::Outcome<void> UdpProxy::Open(base::Endpoint listen) {
  TRY(port, UdpPort::Open(&m_loop->Context(), listen));
  m_listen = std::move(port);
  m_listen->StartReceiving([this](auto bytes, base::Endpoint source) {
    Receive({Direction::kForward, AsText(bytes), source});
  });
  return base::Success();
}

void UdpProxy::AddCommands(LineCommands* commands) {
  const auto add = [this, commands](const std::string& name, auto change) {
    commands->Add(name, [this, change](const auto& words) -> CommandResult {
      const auto address =
          words.size() == 1 ? base::ParseIpv4Address(words[0]) : std::nullopt;
      if (!address)
        return CommandFailed{"expected an IP address"};
      change(&m_excluded, *address);
      return CommandDone{};
    });
  };
  add("exclude",
      [](auto* excluded, auto address) { excluded->insert(address); });
  add("admit", [](auto* excluded, auto address) { excluded->erase(address); });
}

JsonLine UdpProxy::ReportLine() const {
  JsonLine line("report");
  line.Add("received", m_counters.m_received)
      .Add("delivered", m_counters.m_delivered)
      .Add("overflowed", m_counters.m_overflowed)
      .Add("waiting", std::uint64_t{m_delayed + m_pending.size()});
  return line;
}

UdpPort* UdpProxy::PortOf(base::Endpoint source) {
  const auto found = m_ports.find(source);
  if (found != m_ports.end())
    return found->second.get();
  if (m_ports.size() >= kMaximumSources)
    return nullptr;
  auto opened = UdpPort::Open(&m_loop->Context(), {source.m_address, 0});
  if (!opened)
    return nullptr;
  UdpPort* port = opened.value().get();
  port->StartReceiving([this, source](auto bytes, base::Endpoint) {
    Receive({Direction::kBackward, AsText(bytes), source});
  });
  m_ports.emplace(source, std::move(opened).value());
  return port;
}

void UdpProxy::Receive(const Datagram& datagram) {
  if (m_excluded.contains(datagram.m_source.m_address))
    return;
  ++m_counters.m_received;
  for (const base::Duration delay : m_plan->DrawCopies(datagram.m_direction))
    DeliverAfter(delay, datagram);
}

void UdpProxy::DeliverAfter(base::Duration delay, const Datagram& datagram) {
  if (delay == base::Duration::zero()) {
    Deliver(datagram);
    return;
  }
  if (m_delayed >= kMaximumWaiting) {
    ++m_counters.m_overflowed;
    return;
  }
  ++m_delayed;
  m_loop->Timers().SubscribeOnce(EventLoop::Now() + delay,
                                 [this, datagram](base::TimePoint) {
                                   --m_delayed;
                                   Deliver(datagram);
                                 });
}

void UdpProxy::Deliver(const Datagram& datagram) {
  if (m_plan->RulesOf(datagram.m_direction).m_frozen) {
    if (m_pending.size() < kMaximumWaiting)
      m_pending.push_back(datagram);
    else
      ++m_counters.m_overflowed;
    return;
  }
  UdpPort* port = PortOf(datagram.m_source);
  if (port == nullptr) {
    ++m_counters.m_overflowed;
    return;
  }
  ++m_counters.m_delivered;
  if (datagram.m_direction == Direction::kForward)
    port->Send(AsBytes(datagram.m_bytes), m_target);
  else
    m_listen->Send(AsBytes(datagram.m_bytes), datagram.m_source);
}

void UdpProxy::DeliverPending() {
  const std::deque<Datagram> pending = std::exchange(m_pending, {});
  for (const Datagram& datagram : pending)
    Deliver(datagram);
}

}  // namespace stand_ins
