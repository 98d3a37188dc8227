// StandInTraffic: runs one stand-in for a neighbour of the balancers: fabric,
// backend server, caller, fault proxy or forwarder.

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "StandIns/subcommands.h"

namespace {

// Opens /dev/null if standard input is closed, so that input ends at once.
// Otherwise the next socket would get the descriptor of standard input.
void EnsureStandardInput() {
  if (::fcntl(STDIN_FILENO, F_GETFD) == -1)
    ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

}  // namespace

int main(int argc, char** argv) {
  using Subcommand = int (*)(const stand_ins::Arguments&);
  const std::map<std::string, Subcommand> subcommands{
      {"fabric", &stand_ins::RunFabric},
      {"server", &stand_ins::RunBackendServer},
      {"caller", &stand_ins::RunCaller},
      {"proxy", &stand_ins::RunProxy},
      {"forwarder", &stand_ins::RunForwarder},
  };
  EnsureStandardInput();
  std::signal(SIGPIPE, SIG_IGN);
  const stand_ins::Arguments words(argv + 1, argv + argc);
  const auto found =
      words.empty() ? subcommands.end() : subcommands.find(words.front());
  if (found == subcommands.end()) {
    std::cerr << "expected a subcommand:";
    for (const auto& [name, run] : subcommands)
      std::cerr << " " << name;
    std::cerr << "\n";
    return EXIT_FAILURE;
  }
  return found->second({words.begin() + 1, words.end()});
}
