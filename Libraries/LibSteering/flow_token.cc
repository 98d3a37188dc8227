#include "LibSteering/flow_token.h"

#include <algorithm>
#include <cstdint>

#include "LibBase/hash.h"

namespace steering {

ServerTokens TokensOf(const ServerName& name) {
  const std::uint64_t hash = base::HashString(name.value());
  const auto low = static_cast<std::uint32_t>(hash);
  const auto high = static_cast<std::uint32_t>(hash >> 32);
  return {FlowToken(std::max(low, 1U)), FlowToken(std::max(high, 1U))};
}

}  // namespace steering
