#include <doctest/doctest.h>

#include <signal.h>

#include <cstddef>
#include <filesystem>
#include <string>

#include "edge_program.h"

namespace {

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size()))
    ++count;
  return count;
}

}  // namespace

TEST_CASE("a process waits for settings that are still being written") {
  EdgeFiles files(21);
  const std::string text = files.SettingsText();
  for (const std::string& part :
       {std::string(), text.substr(0, 400), std::string("[]")}) {
    CAPTURE(part);
    files.WriteSettings(part);
    EdgeProgram program(files);
    REQUIRE(program.WaitForLog("settings_refused"));

    program.Signal(SIGHUP);
    files.WriteSettings(text);

    CHECK(program.WaitForLog("\"listening\""));
    program.Signal(SIGTERM);
    CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
  }
}

TEST_CASE("a process waits for settings that do not exist yet") {
  EdgeFiles files(22);
  std::filesystem::remove(files.SettingsPath());
  EdgeProgram program(files);
  REQUIRE(program.WaitForLog("settings_refused"));

  files.WriteSettings(files.SettingsText());

  CHECK(program.WaitForLog("\"listening\""));
}

TEST_CASE("a process that waits for settings is shut down by SIGTERM") {
  EdgeFiles files(23);
  files.WriteSettings("");
  EdgeProgram program(files);
  REQUIRE(program.WaitForLog("settings_refused"));

  program.Signal(SIGTERM);

  CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
  CHECK(program.HasLogged("shutdown_finished"));
}

TEST_CASE("a process gives up on settings that stay invalid") {
  EdgeFiles files(24);
  files.WriteSettings("");
  EdgeProgram program(files);

  CHECK(ExitCodeOf(program.WaitForEnd()) == 1);
  CHECK(CountOf(program.Log(), "settings_refused") == 1);
  CHECK(program.HasLogged("start_failed"));
}
