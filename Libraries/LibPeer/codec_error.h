// The errors of the codec, usable as std::error_code.

#ifndef LIBPEER_CODEC_ERROR_H_
#define LIBPEER_CODEC_ERROR_H_

#include <system_error>
#include <type_traits>

namespace peer {

enum class CodecError {
  // The bytes do not begin with the magic number of this protocol.
  kWrongMagic = 1,
  // The frame has another protocol version.
  kUnsupportedVersion,
  // Fewer bytes than the frame header announces.
  kTruncated,
  // A length exceeds its maximum.
  kOversized,
  // The content violates the format.
  kMalformed,
};

std::error_code make_error_code(CodecError error);

}  // namespace peer

template <>
struct std::is_error_code_enum<peer::CodecError> : std::true_type {};

#endif  // LIBPEER_CODEC_ERROR_H_
