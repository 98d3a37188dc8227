// Ejects backend servers that refuse or delay openings far more than their
// peers do. Compares each with the median of all, so that a load that is too
// high for every server ejects none.

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
  // How many of `servers` may be ejected at once; never all of them.
  static std::size_t MaximumEjectedServers(const OutlierSettings& settings,
                                           std::size_t servers);

  // Commands.
  // Ejects the worst outliers among `servers`, up to the permitted share.
  void EjectOutliers(const LoadSettings& settings,
                     std::vector<ServerLoad>& servers,
                     base::TimePoint now,
                     base::Random& random);

 private:
  double MedianRefusedShare(const std::vector<ServerLoad>& servers);
  double MedianDelay(const std::vector<ServerLoad>& servers);

  // Kept between calls so that a call allocates nothing.
  std::vector<double> m_scratch;
};

}  // namespace placement

#endif  // LIBPLACEMENT_OUTLIER_DETECTOR_H_
