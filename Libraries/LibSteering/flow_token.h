// The token that leads every packet of a flow to its backend server.
//
// Each server has two tokens, both functions of its name alone, so that every
// balancer computes the same ones. An opening gets the first that no other
// known server has. The idea of a routing token that the flow itself carries
// is that of Cheetah (Barbette et al., NSDI 2020).

#ifndef LIBSTEERING_FLOW_TOKEN_H_
#define LIBSTEERING_FLOW_TOKEN_H_

#include <array>
#include <cstddef>

#include "LibSteering/ids.h"

namespace steering {

inline constexpr std::size_t kTokensPerServer = 2;

using ServerTokens = std::array<FlowToken, kTokensPerServer>;

// Never zero.
ServerTokens TokensOf(const ServerName& name);

}  // namespace steering

#endif  // LIBSTEERING_FLOW_TOKEN_H_
