#include <doctest/doctest.h>

#include "LibSteering/flow_token.h"

namespace steering {

TEST_CASE(
    "the tokens of a server depend on its name alone and are never zero") {
  const ServerTokens tokens = TokensOf(ServerName("i-7f3a91c2"));

  CHECK(tokens == TokensOf(ServerName("i-7f3a91c2")));
  CHECK(tokens[0] != tokens[1]);
  CHECK(tokens[0] != FlowToken(0));
  CHECK(tokens[1] != FlowToken(0));
}

TEST_CASE("names that end with the same digits have different tokens") {
  CHECK(TokensOf(ServerName("i-aa00000001"))[0] !=
        TokensOf(ServerName("i-bb00000001"))[0]);
}

}  // namespace steering
