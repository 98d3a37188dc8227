// Reads the settings file and reports what is wrong with it.

#ifndef SERVICES_EDGE_SETTINGS_FILE_H_
#define SERVICES_EDGE_SETTINGS_FILE_H_

#include <optional>
#include <string>

#include "LibBase/outcome.h"
#include "LibConfiguration/problem.h"
#include "LibEdge/edge_settings.h"

namespace edge {

// The bytes of the file. Errors: those of the system, and file_too_large over
// 1 MB.
base::Outcome<std::string> ReadSettingsFile(const std::string& path);

// The settings in what ReadSettingsFile gave, or every problem: also that the
// file cannot be read.
configuration::Reading<EdgeSettings> DecodeSettings(
    const base::Outcome<std::string>& text);

// Reads and decodes the file.
configuration::Reading<EdgeSettings> LoadSettings(const std::string& path);

}  // namespace edge

#endif  // SERVICES_EDGE_SETTINGS_FILE_H_
