#include <doctest/doctest.h>

#include <string>

#include "StandIns/flow_drop_filter.h"
#include "StandIns/tcp_packet.h"

namespace {

using stand_ins::DropSide;
using stand_ins::FlowDropFilter;
using stand_ins::TcpPacket;

const base::Ipv4Address kCaller(9);
const base::Endpoint kService{base::Ipv4Address(200), 443};

bool ShouldDrop(FlowDropFilter& drop_filter,
                DropSide from,
                const TcpPacket& packet) {
  const std::string bytes = stand_ins::BuildPacket(packet);
  return drop_filter.ShouldDrop(
      from,
      {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
}

TcpPacket FromCaller(std::uint16_t port) {
  TcpPacket packet{{kCaller, port}, kService, {}};
  packet.m_segment.m_ack = true;
  return packet;
}

}  // namespace

TEST_CASE("existing flows are dropped in one direction, later flows pass") {
  FlowDropFilter drop_filter(DropSide::kCallers, kCaller);
  TcpPacket answer{kService, {kCaller, 1}, {}};
  answer.m_segment.m_ack = true;
  TcpPacket opening = FromCaller(2);
  opening.m_segment.m_ack = false;
  opening.m_segment.m_syn = true;
  TcpPacket other = FromCaller(1);
  other.m_source.m_address = base::Ipv4Address(10);

  CHECK(ShouldDrop(drop_filter, DropSide::kCallers, FromCaller(1)));
  CHECK_FALSE(ShouldDrop(drop_filter, DropSide::kServers, answer));
  CHECK_FALSE(ShouldDrop(drop_filter, DropSide::kCallers, other));
  CHECK(ShouldDrop(drop_filter, DropSide::kCallers, FromCaller(2)));
  CHECK_FALSE(ShouldDrop(drop_filter, DropSide::kCallers, opening));
  CHECK_FALSE(ShouldDrop(drop_filter, DropSide::kCallers, FromCaller(2)));
  CHECK(drop_filter.dropped() == 2);
}
