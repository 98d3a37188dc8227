// Emulates callers, balancers and servers in simulated time. The balancers
// decide with the product's PriorityAdmission and OpeningPlacer.

#ifndef ADMISSION_EMULATOR_ADMISSION_EMULATOR_H_
#define ADMISSION_EMULATOR_ADMISSION_EMULATOR_H_

#include <cstdint>
#include <vector>

#include "AdmissionEmulator/deployment.h"

namespace admission_emulator {

struct ClassResults {
  std::uint64_t m_asked = 0;
  std::uint64_t m_served = 0;
  std::uint64_t m_in_time = 0;
  // Openings that balancers admitted and refused.
  std::uint64_t m_admitted = 0;
  std::uint64_t m_refused = 0;
  // Requests that servers refused because their queue was full.
  std::uint64_t m_shed = 0;
  // Those of them on flows that had already served a request.
  std::uint64_t m_shed_later = 0;
  // The full worth for an answer within the target, 0.3 of it later.
  double m_worth = 0;

  double InTimeShare() const {
    return m_asked == 0 ? 1 : double(m_in_time) / double(m_asked);
  }
};

struct Results {
  // In the order of Deployment::m_classes.
  std::vector<ClassResults> m_classes;
  // The worth of the answers: the full worth within the target, 0.3 later.
  double m_worth = 0;
  // The greatest worth that an allocator with perfect knowledge reaches, and
  // its share of served requests by class. It fills all slots at every moment
  // in the order of worth per work time.
  double m_bound_worth = 0;
  std::vector<double> m_bound_shares;
  // The share of the slots that worked during the burst, and the requests that
  // the busiest server received during it relative to the mean.
  double m_busy_share = 0;
  double m_busiest = 0;
  // Totals of each tenth of a second of the run.
  struct Moment {
    std::uint64_t m_asked = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_shed = 0;
    double m_busy_slot_seconds = 0;
  };
  std::vector<Moment> m_moments;

  ClassResults Sum() const;
};

Results Run(const Scenario& scenario);

}  // namespace admission_emulator

#endif  // ADMISSION_EMULATOR_ADMISSION_EMULATOR_H_
