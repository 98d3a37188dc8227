// Reads the settings of a process from YAML.

#ifndef LIBCONFIGURATION_SETTINGS_READER_H_
#define LIBCONFIGURATION_SETTINGS_READER_H_

#include <string_view>

#include "LibConfiguration/problem.h"
#include "LibConfiguration/settings.h"

namespace configuration {

// Returns the settings, or the errors with their positions. The stages are
// syntax, single fields and contradictions between fields; only the errors of
// the first stage that fails are returned.
ValueOrProblems<Settings> ReadSettings(std::string_view text);

}  // namespace configuration

#endif  // LIBCONFIGURATION_SETTINGS_READER_H_
