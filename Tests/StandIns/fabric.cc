#include "StandIns/fabric.h"

#include <utility>

#include "StandIns/event_loop.h"
#include "StandIns/readiness_poll.h"
#include "StandIns/tcp_packet.h"

namespace stand_ins {

namespace {

constexpr std::size_t kMaximumCallers = 65536;

}  // namespace

Fabric::Fabric(EventLoop* loop, std::uint64_t seed)
    : m_loop(loop), m_random(seed), m_seed(seed), m_sources(&loop->Context()) {}

Fabric::~Fabric() {
  for (auto& [name, balancer] : m_balancers) {
    if (balancer.m_poll)
      balancer.m_poll->Stop();
  }
}

base::Outcome<void> Fabric::Open(base::Ipv4Address address) {
  asio::io_context* context = &m_loop->Context();
  TRY(callers, UdpPort::Open(context, {address, 0}));
  m_callers = std::move(callers);
  TRY(servers, UdpPort::Open(context, {address, 0}));
  m_servers = std::move(servers);
  TRY(from_balancers, UdpPort::Open(context, {address, 0}));
  m_from_balancers = std::move(from_balancers);
  m_callers->StartReceiving([this](auto packet, base::Endpoint source) {
    HandleFromCaller(packet, source);
  });
  m_servers->StartReceiving([this](auto packet, base::Endpoint source) {
    HandleFromServer(packet, source);
  });
  m_from_balancers->StartReceiving(
      [this](auto packet, base::Endpoint) { HandleFromBalancer(packet); });
  return base::Success();
}

void Fabric::AddCommands(LineCommands* commands) {
  commands->Add("balancer",
                [this](const auto& words) { return AddBalancer(words); });
  commands->Add("remove",
                [this](const auto& words) { return RemoveBalancer(words); });
  commands->Add("lose", [this](const auto& words) { return DropFlows(words); });
  commands->Add("list", [this](const auto&) { return ListLine(); });
  commands->Add("report", [this](const auto&) { return ReportLine(); });
}

JsonLine Fabric::ListeningLine() const {
  JsonLine line("listening");
  line.Add("callers", base::ToString(m_callers->LocalEndpoint()))
      .Add("servers", base::ToString(m_servers->LocalEndpoint()))
      .Add("balancers", base::ToString(m_from_balancers->LocalEndpoint()))
      .Add("seed", m_seed);
  return line;
}

JsonLine Fabric::ListLine() const {
  std::vector<JsonLine> balancers;
  for (const auto& [name, balancer] : m_balancers) {
    JsonLine entry("balancer");
    entry.Add("name", name)
        .Add("traffic", base::ToString(balancer.m_traffic))
        .Add("ready", balancer.m_ready);
    balancers.push_back(std::move(entry));
  }
  JsonLine line("list");
  line.Add("balancers", balancers);
  return line;
}

JsonLine Fabric::ReportLine() const {
  JsonLine line("report");
  std::uint64_t lost = 0;
  for (const FlowDropFilter& flows : m_drop_filters)
    lost += flows.dropped();
  line.Add("from_callers", m_counters.m_from_callers)
      .Add("lost", lost)
      .Add("from_servers", m_counters.m_from_servers)
      .Add("from_balancers", m_counters.m_from_balancers)
      .Add("no_balancer", m_counters.m_no_balancer)
      .Add("unknown_caller", m_counters.m_unknown_caller);
  return line;
}

CommandResult Fabric::AddBalancer(const LineCommands::Words& words) {
  if (words.size() != 2 && words.size() != 3)
    return CommandFailed{"expected NAME TRAFFIC [ADMIN]"};
  const std::string& name = words[0];
  const auto traffic = base::ParseEndpoint(words[1]);
  if (!traffic)
    return CommandFailed{"TRAFFIC is not an endpoint IP:PORT"};
  Balancer balancer{*traffic, true, nullptr};
  if (words.size() == 3) {
    const auto admin = base::ParseEndpoint(words[2]);
    if (!admin)
      return CommandFailed{"ADMIN is not an endpoint IP:PORT"};
    balancer.m_ready = false;
    balancer.m_poll = std::make_shared<ReadinessPoll>(
        m_loop, *admin, [this, name](bool ready) { SetReady(name, ready); });
    balancer.m_poll->Start();
  }
  RemoveBalancer({name});
  m_balancers.emplace(name, std::move(balancer));
  RebuildReadyList();
  return CommandDone{};
}

CommandResult Fabric::RemoveBalancer(const LineCommands::Words& words) {
  if (words.size() != 1)
    return CommandFailed{"expected NAME"};
  const auto found = m_balancers.find(words[0]);
  if (found == m_balancers.end())
    return CommandFailed{"no balancer has this name"};
  if (found->second.m_poll)
    found->second.m_poll->Stop();
  m_balancers.erase(found);
  RebuildReadyList();
  return CommandDone{};
}

CommandResult Fabric::DropFlows(const LineCommands::Words& words) {
  if (words.size() != 2)
    return CommandFailed{"expected callers|servers CALLER_IP"};
  const auto direction = base::ValueOf(kDropSideNames, words[0]);
  const auto caller = base::ParseIpv4Address(words[1]);
  if (!direction || !caller)
    return CommandFailed{"expected callers|servers CALLER_IP"};
  m_drop_filters.emplace_back(*direction, *caller);
  return CommandDone{};
}

bool Fabric::ShouldDrop(DropSide from, UdpPort::Bytes packet) {
  bool is_lost = false;
  for (FlowDropFilter& lost : m_drop_filters)
    is_lost = lost.ShouldDrop(from, packet) || is_lost;
  return is_lost;
}

void Fabric::SetReady(const std::string& name, bool ready) {
  const auto found = m_balancers.find(name);
  if (found == m_balancers.end())
    return;
  found->second.m_ready = ready;
  RebuildReadyList();
  JsonLine line("readiness");
  line.Add("name", name).Add("ready", ready);
  PrintLine(line);
}

void Fabric::RebuildReadyList() {
  m_ready.clear();
  for (const auto& [name, balancer] : m_balancers) {
    if (balancer.m_ready)
      m_ready.push_back(balancer.m_traffic);
  }
}

void Fabric::HandleFromCaller(UdpPort::Bytes packet, base::Endpoint source) {
  ++m_counters.m_from_callers;
  if (m_caller_endpoints.size() < kMaximumCallers ||
      m_caller_endpoints.contains(source.m_address))
    m_caller_endpoints[source.m_address] = source;
  if (ShouldDrop(DropSide::kCallers, packet))
    return;
  SendToBalancer(packet, source.m_address);
}

void Fabric::HandleFromServer(UdpPort::Bytes packet, base::Endpoint source) {
  ++m_counters.m_from_servers;
  if (ShouldDrop(DropSide::kServers, packet))
    return;
  SendToBalancer(packet, source.m_address);
}

void Fabric::SendToBalancer(UdpPort::Bytes packet, base::Ipv4Address source) {
  if (m_ready.empty()) {
    ++m_counters.m_no_balancer;
    return;
  }
  const std::uint64_t choice = m_random.Below(m_ready.size());
  m_sources.Send(source, packet, m_ready[choice]);
}

void Fabric::HandleFromBalancer(UdpPort::Bytes packet) {
  ++m_counters.m_from_balancers;
  const auto caller = DestinationOf(packet);
  const auto found =
      caller ? m_caller_endpoints.find(*caller) : m_caller_endpoints.end();
  if (found == m_caller_endpoints.end()) {
    ++m_counters.m_unknown_caller;
    return;
  }
  m_callers->Send(packet, found->second);
}

}  // namespace stand_ins
