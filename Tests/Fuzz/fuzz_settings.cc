// Reads arbitrary bytes as the settings of a balancer process.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "LibConfiguration/settings.h"
#include "LibConfiguration/settings_reader.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  // Only crashes count: the text may be accepted or refused.
  static_cast<void>(configuration::ReadSettings(text));
  return 0;
}
