// Encodes and decodes the content of a message that follows a magic number, in
// cereal's portable binary format. Shared by the codecs of the feed, of the
// load reports and of snapshots.

#ifndef LIBPEER_CONTENT_CODEC_H_
#define LIBPEER_CONTENT_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <istream>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "LibBase/outcome.h"
#include "LibPeer/string_view_buffer.h"

namespace peer {

// `serialize(archive, content)` writes the content. Errors: message_size if a
// part exceeds its maximum size.
template <typename Content, typename Serialize>
base::Outcome<std::string> EncodeContent(std::string_view magic,
                                         Content content,
                                         Serialize serialize) {
  std::ostringstream stream;
  stream << magic;
  try {
    cereal::PortableBinaryOutputArchive archive(stream);
    serialize(archive, content);
  } catch (const cereal::Exception&) {
    return std::make_error_code(std::errc::message_size);
  }
  return std::move(stream).str();
}

// `serialize(archive, content)` reads the content, which must take up all of
// `bytes`. Errors: bad_message.
template <typename Content, typename Serialize>
base::Outcome<Content> DecodeContent(std::string_view bytes,
                                     Serialize serialize) {
  StringViewBuffer buffer(bytes);
  std::istream stream(&buffer);
  try {
    Content content;
    cereal::PortableBinaryInputArchive archive(stream);
    serialize(archive, content);
    if (buffer.IsExhausted())
      return content;
  } catch (const std::exception&) {
    // The error is returned below.
  }
  return std::make_error_code(std::errc::bad_message);
}

}  // namespace peer

#endif  // LIBPEER_CONTENT_CODEC_H_
