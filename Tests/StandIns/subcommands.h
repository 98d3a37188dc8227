// The subcommands of StandInTraffic. Each parses its arguments, runs until
// standard input ends or SIGTERM arrives, and returns its exit status.

#ifndef STANDINS_SUBCOMMANDS_H_
#define STANDINS_SUBCOMMANDS_H_

#include "StandIns/command_line.h"

namespace stand_ins {

int RunFabric(const Arguments& arguments);
int RunBackendServer(const Arguments& arguments);
int RunCaller(const Arguments& arguments);
int RunProxy(const Arguments& arguments);
// Forwards to one backend server in place of the real balancer, to test the
// other stand-ins without it.
int RunForwarder(const Arguments& arguments);

}  // namespace stand_ins

#endif  // STANDINS_SUBCOMMANDS_H_
