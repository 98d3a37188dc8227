#include "StandIns/flow_drop_filter.h"

#include "StandIns/tcp_packet.h"

namespace stand_ins {

bool FlowDropFilter::ShouldDrop(DropSide from, Bytes packet) {
  const auto parsed = ParsePacket(packet);
  if (!parsed)
    return false;
  const bool is_from_caller = from == DropSide::kCallers;
  const base::Endpoint caller =
      is_from_caller ? parsed->m_source : parsed->m_destination;
  if (caller.m_address != m_caller)
    return false;
  const TcpSegment& segment = parsed->m_segment;
  if (is_from_caller && segment.m_syn && !segment.m_ack)
    m_ports_opened_since.insert(caller.m_port);
  if (from != m_side || m_ports_opened_since.contains(caller.m_port))
    return false;
  ++m_dropped;
  return true;
}

}  // namespace stand_ins
