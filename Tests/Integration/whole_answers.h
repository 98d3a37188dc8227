// Runs callers that compare their answers byte by byte, while balancers are
// killed and the network duplicates, reorders, delays and loses packets.

#ifndef TESTS_INTEGRATION_WHOLE_ANSWERS_H_
#define TESTS_INTEGRATION_WHOLE_ANSWERS_H_

#include <string>

namespace integration {

// With random placement a flow's key does not determine its server.
inline constexpr const char* kRandomPlacement = "control: {placement: none}\n";

enum class Faults { kOnHops, kOnHopsAndBetweenBalancers };

struct Outcome {
  int m_whole = 0;
  int m_broken = 0;
  int m_wrong_bytes = 0;
  int m_crossed_answers = 0;
};

// Runs pulls, short requests and feeds, whose callers reuse ports at once,
// while two of six balancers are killed.
Outcome RunThroughFaults(const std::string& title,
                         const std::string& settings,
                         Faults faults);

}  // namespace integration

#endif  // TESTS_INTEGRATION_WHOLE_ANSWERS_H_
