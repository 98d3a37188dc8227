// Encodes messages between balancers and decodes them from untrusted bytes.
//
// A message is a frame of two bytes magic number, one byte protocol version
// and four bytes payload length (most significant byte first), followed by the
// payload in cereal's portable binary format.

#ifndef LIBPEER_CODEC_H_
#define LIBPEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "LibBase/outcome.h"
#include "LibPeer/transport.h"

namespace peer {

struct Message;

inline constexpr std::size_t kFrameHeaderBytes = 7;

// Returns the number of bytes of the whole frame that begins with
// `frame_header`, so that a reader of a stream knows how much to wait for.
// Errors: CodecError but kMalformed.
base::Outcome<std::size_t> FrameSize(Transport transport,
                                     std::string_view frame_header);

// Errors: kOversized if a part of the message or the whole is over its bound,
// kMalformed if its kind may not travel by `transport`.
base::Outcome<std::string> Encode(Transport transport, const Message& message);

// Decodes exactly one frame. Errors: every CodecError.
base::Outcome<Message> Decode(Transport transport, std::string_view frame);

}  // namespace peer

#endif  // LIBPEER_CODEC_H_
