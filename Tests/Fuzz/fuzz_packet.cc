// Parses arbitrary bytes as a packet and as a relay header. The reset that is
// built for a parsed packet must parse as a packet in the opposite direction.

#include <cstddef>
#include <cstdint>
#include <span>

#include "LibBase/verify.h"
#include "LibWire/packet_view.h"
#include "LibWire/relay_header.h"
#include "LibWire/reset_builder.h"

namespace {

void CheckReset(const wire::PacketView& packet) {
  const wire::ResetPacket bytes = wire::BuildReset(packet);
  const auto reset = wire::PacketView::Parse(bytes);
  VERIFY(reset.has_value());
  VERIFY(reset.value().flags().m_reset);
  VERIFY(reset.value().source() == packet.destination());
  VERIFY(reset.value().destination() == packet.source());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span<const std::uint8_t> bytes(data, size);
  if (const auto packet = wire::PacketView::Parse(bytes)) {
    VERIFY(packet.value().bytes().size() <= size);
    CheckReset(packet.value());
  }
  if (const auto header = wire::DecodeRelayHeader(bytes)) {
    const auto decoded_again =
        wire::DecodeRelayHeader(wire::EncodeRelayHeader(header.value()));
    VERIFY(decoded_again.has_value());
  }
  return 0;
}
