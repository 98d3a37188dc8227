// Encodes messages between balancers and decodes them from untrusted bytes.
//
// A message is a frame of a two-byte magic number, a one-byte protocol version,
// a four-byte payload length (most significant byte first) and the payload in
// cereal's portable binary format.

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

// Returns the size in bytes of the whole frame that begins with `frame_header`,
// so that the reader of a stream knows how many bytes to wait for.
// Errors: each CodecError except kMalformed.
base::Outcome<std::size_t> FrameSize(Transport transport,
                                     std::string_view frame_header);

// Errors: kOversized if the message or a part of it exceeds its maximum size,
// kMalformed if `transport` does not carry this kind of message.
base::Outcome<std::string> Encode(Transport transport, const Message& message);

// Decodes exactly one frame. Errors: each CodecError.
base::Outcome<Message> Decode(Transport transport, std::string_view frame);

}  // namespace peer

#endif  // LIBPEER_CODEC_H_
