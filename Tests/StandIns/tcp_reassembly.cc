#include "StandIns/tcp_reassembly.h"

#include <utility>

namespace stand_ins {

void TcpReassembly::Add(std::uint64_t offset,
                        std::string_view bytes,
                        std::uint64_t window_end) {
  if (m_finished || offset >= window_end)
    return;
  bytes = bytes.substr(0, window_end - offset);
  if (offset < m_next) {
    if (offset + bytes.size() <= m_next)
      return;
    bytes.remove_prefix(m_next - offset);
    offset = m_next;
  }
  if (bytes.empty())
    return;
  if (offset == m_next && m_out_of_order.empty()) {
    m_in_order.append(bytes);
    m_next += bytes.size();
  } else {
    std::string& buffered = m_out_of_order[offset];
    if (buffered.size() < bytes.size())
      buffered = bytes;
  }
  Deliver();
}

void TcpReassembly::AddFin(std::uint64_t offset) {
  if (m_finished || offset < m_next)
    return;
  m_fin_offset = offset;
  Deliver();
}

std::string TcpReassembly::TakeInOrder() {
  return std::exchange(m_in_order, {});
}

void TcpReassembly::Deliver() {
  while (!m_out_of_order.empty() && m_out_of_order.begin()->first <= m_next) {
    const auto node = m_out_of_order.extract(m_out_of_order.begin());
    const std::uint64_t end = node.key() + node.mapped().size();
    if (end <= m_next)
      continue;
    m_in_order.append(node.mapped(), m_next - node.key());
    m_next = end;
  }
  if (m_fin_offset == m_next) {
    m_finished = true;
    ++m_next;
  }
}

}  // namespace stand_ins
