// What the program prints.

#ifndef UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_
#define UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_

#include <chrono>
#include <string>

namespace local_deployment {

struct ClosingFigures;
struct FlowCounts;
struct UserProfile;

// One line on the sizes of a user's deployment.
std::string DescribeProfile(const UserProfile& profile);
// One line on the load so far.
std::string DescribeProgress(std::chrono::seconds elapsed,
                             const UserProfile& profile,
                             const FlowCounts& counts);
// The closing figures, on several lines.
std::string DescribeClosing(const UserProfile& profile,
                            const ClosingFigures& figures);
// Whether every flow stayed whole, reached its own service and ran once.
bool IsUnharmed(const ClosingFigures& figures);

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_SUMMARY_H_
