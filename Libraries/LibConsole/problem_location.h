// Describes to an operator where in a draft a problem is.

#ifndef LIBCONSOLE_PROBLEM_LOCATION_H_
#define LIBCONSOLE_PROBLEM_LOCATION_H_

#include <string>
#include <string_view>

#include "LibConfiguration/yaml_node.h"

namespace console {

// Returns "service licence, backend server tap-1, slots" for the path
// "services[0].backend_servers[0].slots" below `root`. An item without a name
// is described by its number in the list, counted from 1. A malformed path is
// returned unchanged.
std::string DescribeProblemLocation(const configuration::YamlNode& root,
                                    std::string_view path);

}  // namespace console

#endif  // LIBCONSOLE_PROBLEM_LOCATION_H_
