#include "settings_file.h"

#include <cerrno>
#include <fstream>
#include <system_error>

#include "platform/settings_decoder.h"

namespace edge {

base::Outcome<std::string> ReadSettingsFile(const std::string& path,
                                            std::size_t limit_bytes) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::error_code(errno == 0 ? EIO : errno, std::generic_category());
  constexpr std::size_t kChunkBytes = 65'536;
  std::string text;
  while (file && text.size() <= limit_bytes) {
    const std::size_t size = text.size();
    text.resize(size + kChunkBytes);
    // Unlike an iterator over the buffer, read() does not throw on an error,
    // such as that of a directory.
    file.read(text.data() + size, kChunkBytes);
    text.resize(size + static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad())
    return std::error_code(errno == 0 ? EIO : errno, std::generic_category());
  if (text.size() > limit_bytes)
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
