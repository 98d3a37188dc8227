// Datagrams and fetched changes of the feed. Whatever decodes must encode to
// bytes that decode again.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "LibCatalog/snapshot_codec.h"
#include "LibCatalog/view_delta.h"
#include "LibFeed/feed_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto message = feed::DecodeMessage(bytes)) {
    const auto encoded = feed::EncodeMessage(message.value());
    if (!encoded || !feed::DecodeMessage(encoded.value()))
      std::abort();
  }
  if (const auto delta = catalog::DecodeDelta(bytes)) {
    const auto encoded = catalog::EncodeDelta(delta.value());
    if (!encoded || !catalog::DecodeDelta(encoded.value()))
      std::abort();
  }
  return 0;
}
