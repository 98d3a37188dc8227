// Reads and decodes the settings file.

#ifndef SERVICES_EDGE_SETTINGS_FILE_H_
#define SERVICES_EDGE_SETTINGS_FILE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "LibBase/outcome.h"
#include "LibConfiguration/problem.h"
#include "LibEdge/edge_settings.h"

namespace edge {

inline constexpr std::size_t kMaximumSettingsBytes = 1'000'000;

// The content of the file. Errors: those of the system, and file_too_large if
// the file has more than `limit_bytes`.
base::Outcome<std::string> ReadSettingsFile(
    const std::string& path,
    std::size_t limit_bytes = kMaximumSettingsBytes);

// The settings in the result of ReadSettingsFile, or all problems. An error of
// ReadSettingsFile becomes a problem too.
configuration::ValueOrProblems<EdgeSettings> DecodeSettings(
    const base::Outcome<std::string>& text);

// The settings in the file at `path`, or all problems.
configuration::ValueOrProblems<EdgeSettings> LoadSettings(
    const std::string& path);

}  // namespace edge

#endif  // SERVICES_EDGE_SETTINGS_FILE_H_
