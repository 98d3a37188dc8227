// Options of the subcommands: Boost.Program_options with endpoints and
// addresses as values.

#ifndef STANDINS_COMMAND_LINE_H_
#define STANDINS_COMMAND_LINE_H_

#include <string>
#include <vector>

#include <boost/any.hpp>
#include <boost/program_options.hpp>

#include "LibBase/ipv4.h"

namespace base {

// Found by Boost.Program_options through argument-dependent lookup.
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

// Parses the arguments into the variables that the options name. Prints the
// reason and the options to standard error if that fails.
bool ParseArguments(const boost::program_options::options_description& options,
                    const Arguments& arguments);

// Prints the reason why a process cannot start and returns its exit status.
int FailToStart(const std::string& reason);

}  // namespace stand_ins

#endif  // STANDINS_COMMAND_LINE_H_
