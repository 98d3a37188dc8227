// Decodes arbitrary bytes as a frame of the peer protocol. A decoded message
// must equal the message that is decoded from its encoded form. The first byte
// of the input selects the transport.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "LibBase/verify.h"
#include "LibPeer/codec.h"
#include "LibPeer/message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0)
    return 0;
  const auto transport =
      data[0] % 2 == 0 ? peer::Transport::kDatagram : peer::Transport::kStream;
  const std::string_view frame(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  const auto message = peer::Decode(transport, frame);
  if (!message)
    return 0;
  const auto written = peer::Encode(transport, message.value());
  VERIFY(written.has_value());
  const auto decoded_again = peer::Decode(transport, written.value());
  VERIFY(decoded_again.has_value());
  VERIFY(decoded_again.value() == message.value());
  return 0;
}
