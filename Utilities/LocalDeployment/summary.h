// What the program prints.

#ifndef UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_
#define UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_

#include <chrono>
#include <string>

namespace local_deployment {

struct LoadResult;
struct FlowCounts;
struct UserProfile;

// One line on the sizes of a user's deployment.
std::string DescribeProfile(const UserProfile& profile);
// One line on the load so far.
std::string DescribeProgress(std::chrono::seconds elapsed,
                             const UserProfile& profile,
                             const FlowCounts& counts);
// The closing figures, on several lines.
std::string DescribeResult(const UserProfile& profile,
                           const LoadResult& result);
// Whether every flow stayed whole, reached its own service and ran once.
bool HasNoFailures(const LoadResult& result);

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_
