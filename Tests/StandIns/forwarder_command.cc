#include "StandIns/subcommands.h"

#include <cstdlib>

#include "StandIns/command_input.h"
#include "StandIns/event_loop.h"
#include "StandIns/udp_port.h"

namespace stand_ins {

namespace {

// Backend servers have addresses in 127.16.0.0/16.
constexpr std::uint32_t kServerNetwork = 0x7f100000;
constexpr std::uint32_t kServerNetworkMask = 0xffff0000;

bool IsServer(base::Ipv4Address address) {
  return (address.value() & kServerNetworkMask) == kServerNetwork;
}

}  // namespace

int RunForwarder(const Arguments& arguments) {
  namespace options = boost::program_options;
  base::Endpoint listen;
  base::Endpoint server;
  base::Endpoint gateway;
  options::options_description description("forwarder");
  auto add = description.add_options();
  add("listen", options::value(&listen)->required(), "endpoint to bind");
  add("server", options::value(&server)->required(),
      "tunnel endpoint of the backend server");
  add("gateway", options::value(&gateway)->required(),
      "the fabric's endpoint for balancers");
  if (!ParseArguments(description, arguments))
    return EXIT_FAILURE;

  EventLoop loop;
  auto opened = UdpPort::Open(&loop.Context(), listen);
  if (!opened)
    return FailToStart(opened.error().message());
  UdpPort& port = *opened.value();
  port.StartReceiving([&](UdpPort::Bytes packet, base::Endpoint source) {
    port.Send(packet, IsServer(source.m_address) ? gateway : server);
  });
  JsonLine listening("listening");
  listening.Add("traffic", base::ToString(port.LocalEndpoint()));
  PrintLine(listening);
  const LineCommands commands;
  CommandInput input(&loop, &commands);
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace stand_ins
