// Formats the text that the program prints.

#ifndef UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_
#define UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_

#include <chrono>
#include <string>

namespace local_deployment {

struct LoadResult;
struct FlowCounts;
struct UserProfile;

// Returns one line on the size of a user's deployment.
std::string DescribeProfile(const UserProfile& profile);
// Returns one line on the load so far.
std::string DescribeProgress(std::chrono::seconds elapsed,
                             const UserProfile& profile,
                             const FlowCounts& counts);
// Returns the results of the load in several lines.
std::string DescribeResult(const UserProfile& profile,
                           const LoadResult& result);
// Whether at least one flow stayed whole, no flow broke, all callers received
// the bytes and answers that they requested, every packet reached its own
// service and no request was executed twice.
bool HasNoFailures(const LoadResult& result);

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_
