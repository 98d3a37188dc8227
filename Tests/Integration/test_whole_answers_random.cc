// Guards against incomplete answers like test_whole_answers, but with random
// servers, so that balancers cannot find a flow's server by the hash order.

#include <doctest/doctest.h>

#include "whole_answers.h"

using integration::Faults;
using integration::kRandomPlacement;
using integration::Outcome;
using integration::RunThroughFaults;

TEST_CASE("answers stay whole when the flows' servers are random") {
  const Outcome outcome =
      RunThroughFaults("faults on every hop, 2 of 6 killed, random servers",
                       kRandomPlacement, Faults::kOnHops);

  CHECK(outcome.m_whole > 300);
  CHECK(outcome.m_broken == 0);
  CHECK(outcome.m_wrong_bytes == 0);
  CHECK(outcome.m_crossed_answers == 0);
}

TEST_CASE(
    "answers stay whole with random servers and faults between balancers") {
  const Outcome outcome = RunThroughFaults(
      "faults on every hop and between balancers, 2 of 6 killed, random "
      "servers",
      kRandomPlacement, Faults::kOnHopsAndBetweenBalancers);

  CHECK(outcome.m_whole > 300);
  CHECK(outcome.m_broken == 0);
  CHECK(outcome.m_wrong_bytes == 0);
  CHECK(outcome.m_crossed_answers == 0);
}
