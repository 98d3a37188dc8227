// Raises RAISED_SIGNAL in the program that this file is linked into: before its
// other static initialisers (RAISED_AT=start), or after its static objects were
// destroyed (RAISED_AT=exit).

#include <signal.h>

#include <cstdlib>
#include <string_view>

namespace {

void RaiseIfAt(std::string_view moment) {
  const char* raised_at = std::getenv("RAISED_AT");
  const char* number = std::getenv("RAISED_SIGNAL");
  if (raised_at != nullptr && number != nullptr && raised_at == moment)
    raise(std::atoi(number));
}

// The lowest priority number that programs may use: first at the start, last at
// the exit.
[[gnu::constructor(101)]] void AtStart() {
  RaiseIfAt("start");
}

[[gnu::destructor(101)]] void AtExit() {
  RaiseIfAt("exit");
}

}  // namespace
