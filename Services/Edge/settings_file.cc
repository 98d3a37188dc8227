#include "settings_file.h"

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

#include "platform/settings_decoder.h"

namespace edge {

namespace {

constexpr std::size_t kMaximumFileBytes = 1'000'000;

}  // namespace

base::Outcome<std::string> ReadSettingsFile(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::error_code(errno == 0 ? EIO : errno, std::generic_category());
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (text.size() > kMaximumFileBytes)
    return std::make_error_code(std::errc::file_too_large);
  return text;
}

configuration::ValueOrProblems<EdgeSettings> DecodeSettings(
    const base::Outcome<std::string>& text) {
  if (!text)
    return configuration::Problems{{configuration::ProblemKind::kSyntax,
                                    "",
                                    "cannot be read: " + text.error().message(),
                                    {}}};
  return adapter::DecodeSettings(text.value());
}

configuration::ValueOrProblems<EdgeSettings> LoadSettings(
    const std::string& path) {
  return DecodeSettings(ReadSettingsFile(path));
}

}  // namespace edge
