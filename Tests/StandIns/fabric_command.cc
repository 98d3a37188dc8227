#include <cstdlib>

#include "StandIns/command_input.h"
#include "StandIns/event_loop.h"
#include "StandIns/fabric.h"
#include "StandIns/subcommands.h"

namespace stand_ins {

int RunFabric(const Arguments& arguments) {
  namespace options = boost::program_options;
  base::Ipv4Address address;
  std::uint64_t seed = 0;
  options::options_description description("fabric");
  auto add = description.add_options();
  add("address", options::value(&address)->required(), "IP address to bind");
  add("seed", options::value(&seed)->required(),
      "seed of the random choice of balancers");
  if (!ParseArguments(description, arguments))
    return EXIT_FAILURE;

  EventLoop loop;
  Fabric fabric(&loop, seed);
  if (const auto opened = fabric.Open(address); !opened)
    return FailToStart(opened.error().message());
  PrintLine(fabric.ListeningLine());
  LineCommands commands;
  fabric.AddCommands(&commands);
  const CommandInput input(&loop, &commands);
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace stand_ins
