#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "edge_program.h"

TEST_CASE("an exception at the start is logged and has an exit code") {
  EdgeFiles files(31);
  const std::string script = files.NewPath();
  // Standard input, output and error, and one that the loader needs.
  std::ofstream(script) << "#!/bin/sh\nulimit -n 4\nexec " EDGE_PROGRAM
                           " \"$@\"\n";
  std::filesystem::permissions(script, std::filesystem::perms::owner_all);

  EdgeProgram program(files, script);

  CHECK(ExitCodeOf(program.WaitForEnd()) == 5);
  CHECK(program.HasLogged("process_failed"));
}
