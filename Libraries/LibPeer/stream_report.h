// The observations that a balancer made of one watched stream.

#ifndef LIBPEER_STREAM_REPORT_H_
#define LIBPEER_STREAM_REPORT_H_

#include <cstdint>

namespace peer {

struct StreamReport {
  // The number of repetitions during the watch, at most 127. The top bit (128)
  // is set if the other end acknowledged the payload or announced a closed
  // window, or if a packet opened, closed or aborted the flow.
  std::uint8_t m_repetitions = 0;
  // The number of payloads seen from the watched position before and during the
  // watch, at most 255.
  std::uint8_t m_observations = 0;
  // Bytes from the watched position to the end of the newest payload, at most
  // 65,535; zero if none was seen.
  std::uint16_t m_extent_bytes = 0;

  friend bool operator==(const StreamReport&, const StreamReport&) = default;
};

}  // namespace peer

#endif  // LIBPEER_STREAM_REPORT_H_
