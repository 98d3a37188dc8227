// Ejects backend servers that refuse or delay openings far more than their
// peers. Each server is compared with the median of all servers, so that an
// overload of every server ejects none.

#ifndef LIBPLACEMENT_OUTLIER_DETECTOR_H_
#define LIBPLACEMENT_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlacement/load_settings.h"
#include "LibPlacement/server_load.h"

namespace placement {

class OutlierDetector {
 public:
  // Queries.
  // Returns how many of `servers` servers may be ejected at once: never all of
  // them.
  static std::size_t MaximumEjectedServers(const OutlierSettings& settings,
                                           std::size_t servers);

  // Commands.
  // Ejects the worst outliers among `servers`, up to the maximum share of
  // ejected servers.
  void EjectOutliers(const LoadSettings& settings,
                     std::vector<ServerLoad>& servers,
                     base::TimePoint now,
                     base::Random& random);

 private:
  double MedianRefusedShare(const std::vector<ServerLoad>& servers);
  double MedianDelay(const std::vector<ServerLoad>& servers);

  // Reused between calls to avoid allocations.
  std::vector<double> m_scratch;
};

}  // namespace placement

#endif  // LIBPLACEMENT_OUTLIER_DETECTOR_H_
