// Reassembles a TCP byte stream from segments that arrive out of order.

#ifndef STANDINS_TCP_REASSEMBLY_H_
#define STANDINS_TCP_REASSEMBLY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace stand_ins {

class TcpReassembly {
 public:
  // Queries.
  // RCV.NXT as an offset from the initial sequence number. Counts the FIN once
  // all bytes before it have arrived.
  std::uint64_t Next() const { return m_next; }
  // Whether every byte and the FIN have arrived.
  bool IsFinished() const { return m_finished; }

  // Commands.
  // Sets the first expected offset, after the SYN.
  void Start(std::uint64_t next) { m_next = next; }
  // Adds bytes at an offset. Drops bytes before Next() and bytes at or after
  // `window_end`.
  void Add(std::uint64_t offset,
           std::string_view bytes,
           std::uint64_t window_end);
  // Records the offset of the FIN.
  void AddFin(std::uint64_t offset);
  std::string TakeInOrder();

 private:
  void Deliver();

  std::uint64_t m_next = 0;
  bool m_finished = false;
  std::optional<std::uint64_t> m_fin_offset;
  std::map<std::uint64_t, std::string> m_out_of_order;
  std::string m_in_order;
};

}  // namespace stand_ins

#endif  // STANDINS_TCP_REASSEMBLY_H_
