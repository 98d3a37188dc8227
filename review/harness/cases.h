// The cases of the review, by the names of their folders' claims.

#ifndef REVIEW_HARNESS_CASES_H_
#define REVIEW_HARNESS_CASES_H_

#include <cstdint>

#include "scenario.h"

namespace review {

// Each returns the exit status of the case's script.
int RunNestedEntry(const ScenarioOptions& options, std::uint32_t network);
int RunUnreadableEntry(const ScenarioOptions& options, std::uint32_t network);
int RunIncompleteEntry(const ScenarioOptions& options, std::uint32_t network);
int RunReadersCutOff(const ScenarioOptions& options, std::uint32_t network);
int RunManifestStorm(const ScenarioOptions& options, std::uint32_t network);
int RunAddedRoute(const ScenarioOptions& options, std::uint32_t network);

}  // namespace review

#endif  // REVIEW_HARNESS_CASES_H_
