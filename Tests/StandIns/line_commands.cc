#include "StandIns/line_commands.h"

#include <sstream>
#include <utility>

#include "LibBase/overloaded.h"

namespace stand_ins {

namespace {

LineCommands::Words SplitWords(std::string_view line) {
  std::istringstream stream{std::string(line)};
  LineCommands::Words words;
  for (std::string word; stream >> word;)
    words.push_back(word);
  return words;
}

JsonLine ErrorLine(std::string_view command, std::string_view reason) {
  JsonLine line("error");
  line.Add("command", command).Add("reason", reason);
  return line;
}

}  // namespace

JsonLine LineCommands::Execute(std::string_view line) const {
  Words words = SplitWords(line);
  if (words.empty())
    return ErrorLine("", "empty line");
  const std::string name = words.front();
  words.erase(words.begin());
  const auto found = m_handlers.find(name);
  if (found == m_handlers.end())
    return ErrorLine(name, "unknown command");
  const base::Overloaded to_line{
      [&](const CommandDone&) {
        JsonLine done("done");
        done.Add("command", line);
        return done;
      },
      [&](const CommandFailed& failed) {
        return ErrorLine(line, failed.m_reason);
      },
      [](JsonLine& report) { return std::move(report); },
  };
  CommandResult result = found->second(words);
  return std::visit(to_line, result);
}

void LineCommands::Add(std::string_view name, Handler handler) {
  m_handlers.insert_or_assign(std::string(name), std::move(handler));
}

LineCommands::Handler SwitchCommand(std::function<void(bool on)> apply) {
  return [apply = std::move(apply)](
             const LineCommands::Words& words) -> CommandResult {
    if (words.size() != 1 || (words[0] != "on" && words[0] != "off"))
      return CommandFailed{"expected on or off"};
    apply(words[0] == "on");
    return CommandDone{};
  };
}

}  // namespace stand_ins
