// The main function of the binary. The first argument names the subcommand.

#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "balancer_command.h"
#include "check_command.h"
#include "exit_code.h"
#include "report_command.h"
#include "status_command.h"
#include "submit_command.h"

namespace {

struct Subcommand {
  std::string_view m_name;
  std::string_view m_summary;
  int (*m_run)(const std::vector<std::string>& arguments);
};

constexpr std::array kSubcommands = {
    Subcommand{"balancer", "run a balancer", service::RunBalancer},
    Subcommand{"check", "validate settings and documents", service::RunCheck},
    Subcommand{"submit", "put a configuration document in force",
               service::RunSubmit},
    Subcommand{"status", "print a balancer's status", service::RunStatus},
    Subcommand{"report", "print the report on service-level burn",
               service::RunReport},
};

int PrintUsage() {
  std::cerr << "usage: coltsfootdale SUBCOMMAND [OPTIONS]\n\n";
  for (const Subcommand& subcommand : kSubcommands)
    std::cerr << "  " << subcommand.m_name << "\t" << subcommand.m_summary
              << "\n";
  std::cerr << "\nEach subcommand prints its options with --help.\n";
  return service::ToInt(service::ExitCode::kUsage);
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty())
    return PrintUsage();
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.m_name == arguments.front())
      return subcommand.m_run({arguments.begin() + 1, arguments.end()});
  }
  return PrintUsage();
}
