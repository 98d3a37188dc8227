// Load in datagrams of the feed. Whatever decodes must encode to bytes of the
// permitted size that decode again, and must be accepted or refused.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <variant>

#include "LibLoadExchange/limits.h"
#include "LibLoadExchange/load_codec.h"
#include "LibLoadExchange/load_exchange.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace load_exchange;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const base::TimePoint now{std::chrono::hours(1)};
  LoadExchange reader(base::Ipv4Address(1), base::DataCentreId("hall-0"));
  reader.AcceptRequestLoad(base::Ipv4Address(2), bytes, true, now);
  reader.AcceptResponseLoad(bytes, now);
  const LoadReport own = {1, KeyOf("hall-0"), {}, {}};
  if (reader.MakeResponseLoad(own, true, now).size() > kMaximumSumsBytes)
    std::abort();
  const auto message = DecodeLoad(bytes);
  if (!message)
    return 0;
  const auto* report = std::get_if<LoadReport>(&message.value());
  const auto* sums = std::get_if<LoadSums>(&message.value());
  const std::string encoded = report != nullptr
                                  ? EncodeReport(*report)
                                  : EncodeSums(*sums, kMaximumSumsBytes);
  if (encoded.size() > kMaximumSumsBytes ||
      (!encoded.empty() && !DecodeLoad(encoded)))
    std::abort();
  return 0;
}
