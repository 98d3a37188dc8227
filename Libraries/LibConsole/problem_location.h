// Says in an operator's words where a problem of a draft is.

#ifndef LIBCONSOLE_PROBLEM_LOCATION_H_
#define LIBCONSOLE_PROBLEM_LOCATION_H_

#include <string>
#include <string_view>

#include "LibConfiguration/yaml_node.h"

namespace console {

// Returns "service licence, backend server tap-1, slots" for the path
// "services[0].backend_servers[0].slots" below `root`. What has no name goes
// by its place in the list, from 1; a malformed path is returned as it is.
std::string DescribeProblemLocation(const configuration::YamlNode& root,
                                    std::string_view path);

}  // namespace console

#endif  // LIBCONSOLE_PROBLEM_LOCATION_H_
