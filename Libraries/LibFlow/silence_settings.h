// Settings of the detection of silent flows.

#ifndef LIBFLOW_SILENCE_SETTINGS_H_
#define LIBFLOW_SILENCE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"

namespace flow {

struct SilenceSettings {
  // A retransmission this long after the last new data makes a stream suspect.
  base::Duration m_suspect_after = std::chrono::milliseconds(500);
  // How long all balancers watch a suspect stream.
  base::Duration m_watch_duration = std::chrono::seconds(5);
  // How often all balancers together must have seen the payload, including the
  // first time.
  std::uint32_t m_repetitions = 7;
  // How many of these must have passed unanswered while all balancers watched.
  std::uint32_t m_watched_repetitions = 3;
  // Mean bytes per second sent to all other balancers together, including IP
  // and UDP headers, and the bytes that may be sent in a burst.
  double m_bytes_per_second = 500;
  double m_burst_bytes = 6'000;
  // Slots of the RetransmissionTable; a power of two.
  std::size_t m_retransmission_slots = std::size_t{1} << 17;
  // Maximum number of suspect streams that wait for a request.
  std::size_t m_maximum_suspects = 1024;
  // Maximum number of streams that this balancer watches at once.
  std::size_t m_maximum_watched = 8192;
};

}  // namespace flow

#endif  // LIBFLOW_SILENCE_SETTINGS_H_
