// Reads the settings of a process from YAML.

#ifndef LIBCONFIGURATION_SETTINGS_READER_H_
#define LIBCONFIGURATION_SETTINGS_READER_H_

#include <string_view>

#include "LibConfiguration/problem.h"
#include "LibConfiguration/settings.h"

namespace configuration {

// Returns the settings, or the errors of the text with their positions.
ValueOrProblems<Settings> ReadSettings(std::string_view text);

}  // namespace configuration

#endif  // LIBCONFIGURATION_SETTINGS_READER_H_
