// Decodes arbitrary bytes as the settings of an edge balancer.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/settings_decoder.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  // Only crashes count: the text may be accepted or refused.
  static_cast<void>(adapter::DecodeSettings(text));
  return 0;
}
