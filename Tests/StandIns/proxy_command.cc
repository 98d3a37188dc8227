#include <cstdint>
#include <cstdlib>
#include <string>

#include "LibBase/enum_table.h"
#include "StandIns/command_input.h"
#include "StandIns/event_loop.h"
#include "StandIns/fault_plan.h"
#include "StandIns/subcommands.h"
#include "StandIns/tcp_proxy.h"
#include "StandIns/udp_proxy.h"

namespace stand_ins {

namespace {

struct ProxyOptions {
  base::Endpoint m_listen;
  base::Endpoint m_target;
  std::string m_protocol;
  std::uint64_t m_seed = 0;
};

bool ParseOptions(const Arguments& arguments, ProxyOptions* proxy) {
  namespace options = boost::program_options;
  options::options_description description("proxy");
  auto add = description.add_options();
  add("listen", options::value(&proxy->m_listen)->required(),
      "endpoint to bind");
  add("target", options::value(&proxy->m_target)->required(),
      "endpoint of the target");
  add("protocol", options::value(&proxy->m_protocol)->required(), "udp or tcp");
  add("seed", options::value(&proxy->m_seed)->required(), "seed of the faults");
  return ParseArguments(description, arguments);
}

void PrintListening(base::Endpoint listen, std::uint64_t seed) {
  JsonLine line("listening");
  line.Add("listen", base::ToString(listen)).Add("seed", seed);
  PrintLine(line);
}

}  // namespace

int RunProxy(const Arguments& arguments) {
  ProxyOptions options;
  if (!ParseOptions(arguments, &options))
    return EXIT_FAILURE;
  const auto protocol = base::ValueOf(kProxyProtocolNames, options.m_protocol);
  if (!protocol)
    return FailToStart("invalid value of --protocol: expected udp or tcp");

  EventLoop loop;
  FaultPlan plan(*protocol, options.m_seed);
  UdpProxy udp(&loop, &plan, options.m_target);
  TcpProxy tcp(&loop, &plan, options.m_target);
  const bool is_udp = *protocol == ProxyProtocol::kUdp;
  const auto opened =
      is_udp ? udp.Open(options.m_listen) : tcp.Open(options.m_listen);
  if (!opened)
    return FailToStart(opened.error().message());
  PrintListening(is_udp ? udp.LocalEndpoint() : tcp.LocalEndpoint(),
                 options.m_seed);
  LineCommands commands;
  plan.AddCommands(&commands,
                   [&] { is_udp ? udp.DeliverPending() : tcp.ApplyRules(); });
  commands.Add("report", [&](const auto&) {
    return is_udp ? udp.ReportLine() : tcp.ReportLine();
  });
  if (is_udp)
    udp.AddCommands(&commands);
  commands.Add("target", [&](const auto& words) -> CommandResult {
    const auto target =
        words.size() == 1 ? base::ParseEndpoint(words[0]) : std::nullopt;
    if (!target)
      return CommandFailed{"expected the target's endpoint as IP:PORT"};
    udp.SetTarget(*target);
    tcp.SetTarget(*target);
    return CommandDone{};
  });
  const CommandInput input(&loop, &commands);
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace stand_ins
