// Settings of LoadView and of outlier ejection, per service.

#ifndef LIBPLACEMENT_LOAD_SETTINGS_H_
#define LIBPLACEMENT_LOAD_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "LibBase/time.h"

namespace placement {

// Outlier ejection, modelled on Envoy's outlier detection. A server that
// refuses or delays openings far more than its peers receives no new flows for
// a time that grows with each consecutive ejection. The share of servers that
// are ejected at once is limited.
struct OutlierSettings {
  // A server with fewer openings is not ejected for refusals, and a server with
  // fewer answers is not ejected for delays.
  std::uint32_t m_minimum_samples = 4;
  // A server is ejected if its share of refused openings exceeds the median of
  // the servers by more than this.
  double m_refused_share_margin = 0.4;
  // An answer delay is slow above this multiple of the servers' median delay.
  double m_slow_delay_factor = 4.0;
  // Delays up to this are never slow.
  base::Duration m_slow_delay_minimum = std::chrono::milliseconds(50);
  // Duration of the first ejection; each consecutive ejection doubles the
  // duration up to the maximum.
  base::Duration m_base_ejection = std::chrono::seconds(3);
  base::Duration m_maximum_ejection = std::chrono::seconds(60);
  // Each ejection is lengthened by a random share of its duration, at most this
  // share.
  double m_jitter_share = 0.25;
  // Maximum share of the servers that are ejected at once.
  double m_maximum_ejected_share = 0.25;
};

struct LoadSettings {
  // A server is full when its requests reach its slots times this factor.
  double m_bound_factor = 1.0;
  // The bound of a cold server grows to its full value over this time.
  base::Duration m_slow_start_window = std::chrono::seconds(10);
  // Share of the full bound at which the slow start of a cold server begins.
  double m_slow_start_share = 0.34;
  // Maximum time for which a server counts as full after a refusal. A load
  // report that was measured after the refusal ends this time early.
  base::Duration m_refusal_hold = std::chrono::milliseconds(500);
  // Health probes are ignored while they report more than this share of the
  // servers as unhealthy.
  double m_maximum_unhealthy_share = 0.5;
  // The other balancers' counts are stale after this time without a message.
  base::Duration m_peer_counts_lifetime = std::chrono::seconds(2);
  OutlierSettings m_outlier;
};

}  // namespace placement

#endif  // LIBPLACEMENT_LOAD_SETTINGS_H_
