// Callers whose answers are compared byte by byte while balancers die and the
// network duplicates, reorders, delays and loses packets.

#ifndef TESTS_INTEGRATION_WHOLE_ANSWERS_H_
#define TESTS_INTEGRATION_WHOLE_ANSWERS_H_

#include <string>

namespace integration {

// Placed at random, a flow's server cannot be told from its key.
inline constexpr const char* kRandomPlacement = "control: {placement: none}\n";

enum class Faults { kOnHops, kOnHopsAndBetweenBalancers };

struct Outcome {
  int m_whole = 0;
  int m_broken = 0;
  int m_wrong_bytes = 0;
  int m_crossed_answers = 0;
};

// Pulls, short requests and feeds, with ports used again at once, while two of
// six balancers die.
Outcome RunThroughFaults(const std::string& title,
                         const std::string& settings,
                         Faults faults);

}  // namespace integration

#endif  // TESTS_INTEGRATION_WHOLE_ANSWERS_H_
