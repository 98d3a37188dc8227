// Parses the options of the subcommands with Boost.Program_options. Values may
// be endpoints and IPv4 addresses.

#ifndef STANDINS_COMMAND_LINE_H_
#define STANDINS_COMMAND_LINE_H_

#include <string>
#include <vector>

#include <boost/any.hpp>
#include <boost/program_options.hpp>

#include "LibBase/ipv4.h"

namespace base {

// Boost.Program_options finds these through argument-dependent lookup.
void validate(boost::any& value,  // NOLINT(readability-identifier-naming)
              const std::vector<std::string>& texts,
              Ipv4Address* target,
              int unused);
void validate(boost::any& value,  // NOLINT(readability-identifier-naming)
              const std::vector<std::string>& texts,
              Endpoint* target,
              int unused);

}  // namespace base

namespace stand_ins {

using Arguments = std::vector<std::string>;

// Parses the arguments into the variables bound to the options. On failure,
// prints the reason and the options to standard error and returns false.
bool ParseArguments(const boost::program_options::options_description& options,
                    const Arguments& arguments);

// Prints the reason to standard error and returns the exit status for a failed
// start.
int FailToStart(const std::string& reason);

}  // namespace stand_ins

#endif  // STANDINS_COMMAND_LINE_H_
