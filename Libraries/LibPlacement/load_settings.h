// Settings of the view of load, per service.

#ifndef LIBPLACEMENT_LOAD_SETTINGS_H_
#define LIBPLACEMENT_LOAD_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "LibBase/time.h"

namespace placement {

// Outlier ejection, after the published idea of Envoy's outlier detection: a
// server that does much worse than its peers gets no new flows for a while,
// longer each time, but never too many servers at once.
struct OutlierSettings {
  // Fewer openings, or fewer answers, than this prove nothing.
  std::uint32_t m_minimum_samples = 4;
  // Share of refused openings, above the median of the servers, that ejects.
  double m_refused_share_margin = 0.4;
  // Multiple of the median answer delay of the servers that counts as slow.
  double m_slow_delay_factor = 4.0;
  // Delays under this are never slow.
  base::Duration m_slow_delay_minimum = std::chrono::milliseconds(50);
  base::Duration m_base_ejection = std::chrono::seconds(3);
  base::Duration m_maximum_ejection = std::chrono::seconds(60);
  // Each ejection lasts its time plus up to this share of it.
  double m_jitter_share = 0.25;
  // At most this share of the servers is ejected at once.
  double m_maximum_ejected_share = 0.25;
};

struct LoadSettings {
  // A server counts as full at its slots times this factor.
  double m_bound_factor = 1.0;
  // A cold server's bound grows over this time to its full value.
  base::Duration m_slow_start_window = std::chrono::seconds(10);
  // Share of its bound that a cold server starts with.
  double m_slow_start_share = 0.34;
  // For how long a refusal makes a server count as full, at most; a report
  // measured after the refusal ends it earlier.
  base::Duration m_refusal_hold = std::chrono::milliseconds(500);
  // Probes are ignored if they call a greater share than this unhealthy.
  double m_maximum_unhealthy_share = 0.5;
  // After this time without a message, the other balancers' counts are stale.
  base::Duration m_peer_counts_lifetime = std::chrono::seconds(2);
  OutlierSettings m_outlier;
};

}  // namespace placement

#endif  // LIBPLACEMENT_LOAD_SETTINGS_H_
