// Command-line parsing that the subcommands share.

#ifndef SERVICES_COLTSFOOTDALE_COMMAND_LINE_H_
#define SERVICES_COLTSFOOTDALE_COMMAND_LINE_H_

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ipv4.h"
#include "exit_code.h"

namespace service {

// The values of the options, or the code with which to exit at once.
using ParsedArguments =
    std::variant<boost::program_options::variables_map, ExitCode>;

// Parses `arguments`. Prints the description to standard output for --help,
// which must be among the options. Prints errors to standard error.
ParsedArguments ParseArguments(
    const boost::program_options::options_description& description,
    const std::vector<std::string>& arguments);

// Returns the text of an option, or nothing if it was not given.
std::optional<std::string> TextOption(
    const boost::program_options::variables_map& values,
    const std::string& name);

// Returns the value of an option of the form IP:PORT. Prints an error and
// returns nothing if the option was not given or is malformed.
std::optional<base::Endpoint> EndpointOption(
    const boost::program_options::variables_map& values,
    const std::string& name);

// Returns the content of a file. Prints an error and returns nothing if the
// file cannot be read or exceeds the size limit of configurations.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_COMMAND_LINE_H_
