// The commands that a stand-in accepts on standard input, one per line.

#ifndef STANDINS_LINE_COMMANDS_H_
#define STANDINS_LINE_COMMANDS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "StandIns/json_line.h"

namespace stand_ins {

// The command succeeded and has no output.
struct CommandDone {};

struct CommandFailed {
  std::string m_reason;
};

using CommandResult = std::variant<CommandDone, CommandFailed, JsonLine>;

class LineCommands {
 public:
  // The words after the command's name.
  using Words = std::vector<std::string>;
  using Handler = std::function<CommandResult(const Words& words)>;

  // Queries.
  // Runs the handler of the line's command and returns the line to print.
  JsonLine Execute(std::string_view line) const;

  // Commands.
  void Add(std::string_view name, Handler handler);

 private:
  std::map<std::string, Handler, std::less<>> m_handlers;
};

// Returns a handler for "NAME on|off".
LineCommands::Handler SwitchCommand(std::function<void(bool on)> apply);

}  // namespace stand_ins

#endif  // STANDINS_LINE_COMMANDS_H_
