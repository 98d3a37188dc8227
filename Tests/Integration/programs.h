// The paths of the programs under test and of the stand-ins.

#ifndef TESTS_INTEGRATION_PROGRAMS_H_
#define TESTS_INTEGRATION_PROGRAMS_H_

namespace integration {

inline constexpr const char* kColtsfootdale = COLTSFOOTDALE_PROGRAM;
inline constexpr const char* kStandInTraffic = STAND_IN_TRAFFIC_PROGRAM;
inline constexpr const char* kStandInPlatform = STAND_IN_PLATFORM_PROGRAM;

}  // namespace integration

#endif  // TESTS_INTEGRATION_PROGRAMS_H_
