// Computes the tokens that identify a backend server in the packets of its
// flows.
//
// Each server has two tokens, which are hashes of its name alone, so every
// balancer computes the same tokens. An opening gets the first token that no
// other known server has. Routing by a token that the flow's packets carry
// follows Cheetah (Barbette et al., NSDI 2020).

#ifndef LIBSTEERING_FLOW_TOKEN_H_
#define LIBSTEERING_FLOW_TOKEN_H_

#include <array>
#include <cstddef>

#include "LibSteering/ids.h"

namespace steering {

inline constexpr std::size_t kTokensPerServer = 2;

using ServerTokens = std::array<FlowToken, kTokensPerServer>;

// The tokens are never zero.
ServerTokens TokensOf(const ServerName& name);

}  // namespace steering

#endif  // LIBSTEERING_FLOW_TOKEN_H_
