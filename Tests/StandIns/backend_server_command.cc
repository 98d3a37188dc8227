#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <utility>

#include "StandIns/backend_server.h"
#include "StandIns/command_input.h"
#include "StandIns/event_loop.h"
#include "StandIns/subcommands.h"

namespace stand_ins {

namespace {

bool ParseOptions(const Arguments& arguments, BackendServerOptions* server) {
  namespace options = boost::program_options;
  std::int64_t cold_start_ms = 0;
  std::int64_t load_lag_ms = 0;
  options::options_description description("server");
  auto add = description.add_options();
  add("address", options::value(&server->m_address)->required(),
      "IP address of this server");
  add("tunnel-port", options::value(&server->m_tunnel_port),
      "UDP port of the tunnel; 0: ephemeral");
  add("service", options::value(&server->m_service)->required(),
      "name of the service");
  add("service-address", options::value(&server->m_service_address)->required(),
      "address of the service, which terminates the connections");
  add("name", options::value(&server->m_name)->required(),
      "name of this server");
  add("gateway", options::value(&server->m_gateway)->required(),
      "the fabric's endpoint for servers");
  add("slots", options::value(&server->m_slots)->required(),
      "maximum number of requests that run at once");
  add("connections", options::value(&server->m_connection_limit)->required(),
      "maximum number of connections");
  add("cold-start-ms", options::value(&cold_start_ms),
      "time after the start during which service times are longer");
  add("load-lag-ms", options::value(&load_lag_ms), "age of the reported load");
  add("seed", options::value(&server->m_seed)->required(),
      "seed of the random numbers");
  if (!ParseArguments(description, arguments))
    return false;
  server->m_cold_start = std::chrono::milliseconds(cold_start_ms);
  server->m_load_lag = std::chrono::milliseconds(load_lag_ms);
  return true;
}

}  // namespace

int RunBackendServer(const Arguments& arguments) {
  BackendServerOptions options;
  if (!ParseOptions(arguments, &options))
    return EXIT_FAILURE;

  EventLoop loop;
  BackendServer server(&loop, std::move(options));
  if (const auto opened = server.Open(); !opened)
    return FailToStart(opened.error().message());
  PrintLine(server.ListeningLine());
  LineCommands commands;
  server.AddCommands(&commands);
  const CommandInput input(&loop, &commands);
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace stand_ins
