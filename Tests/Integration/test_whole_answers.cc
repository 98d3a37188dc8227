// Guards against answers that arrive incomplete, corrupted or at another caller
// when the network duplicates, reorders, delays and loses packets.
// test_whole_answers_random checks the same with random servers.

#include <doctest/doctest.h>

#include "whole_answers.h"

using integration::Faults;
using integration::kRandomPlacement;
using integration::Outcome;
using integration::RunThroughFaults;

TEST_CASE("answers stay whole under duplicates, reordering, delay and loss") {
  const Outcome outcome = RunThroughFaults(
      "faults on every hop and between balancers, 2 of 6 killed", "",
      Faults::kOnHopsAndBetweenBalancers);

  CHECK(outcome.m_whole > 300);
  CHECK(outcome.m_broken == 0);
  CHECK(outcome.m_wrong_bytes == 0);
  CHECK(outcome.m_crossed_answers == 0);
}

TEST_CASE("without learning and probes the same faults break flows") {
  const Outcome outcome = RunThroughFaults(
      "the same without learning and probes",
      std::string(kRandomPlacement) +
          "mechanisms: {learn_from_answers: false, probe: false}\n",
      Faults::kOnHops);

  CHECK(outcome.m_broken > 0);
  CHECK(outcome.m_wrong_bytes == 0);
  CHECK(outcome.m_crossed_answers == 0);
}
