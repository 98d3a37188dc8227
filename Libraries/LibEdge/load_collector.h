// Connects the load exchange with the steering: makes this balancer's load
// report, and applies what is known of the fleet's load to the placement.

#ifndef LIBEDGE_LOAD_COLLECTOR_H_
#define LIBEDGE_LOAD_COLLECTOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibEdge/edge_settings.h"
#include "LibLoadExchange/fleet_load.h"
#include "LibLoadExchange/load_report.h"
#include "LibSteering/steering.h"

namespace edge {

// Whether the balancers exchange their load: the deployment has evacuations,
// the manifest has routes with targets and different priorities, or a service
// has a limit for cold servers, which needs the number of balancers.
bool ExchangesLoad(const EdgeSettings& settings,
                   const steering::Manifest& manifest);

class LoadCollector {
 public:
  // A report visits every server, so one is made at most this often.
  static constexpr base::Duration kReportInterval =
      std::chrono::milliseconds(200);
  // The openings per second are counted over about this time.
  static constexpr base::Duration kCountingTime = std::chrono::seconds(1);
  // Fewer unanswered requests at a server, weighted by their age, are not
  // reported.
  static constexpr double kLeastUnanswered = 0.5;
  // The shortest and the longest time for which evidence that counts against a
  // server is kept after it was last received. A server that is avoided gives
  // no further evidence. With different times on each balancer, few of them try
  // the server again first, and the others learn from these.
  static constexpr base::Duration kLeastHoldTime = std::chrono::seconds(3);
  static constexpr base::Duration kLongestHoldTime = std::chrono::seconds(15);

  // `seed` differs between balancers.
  LoadCollector(const base::DataCentreId& data_centre, std::uint64_t seed)
      : m_data_centre(load_exchange::KeyOf(data_centre.value())),
        m_random(seed) {}

  // Commands.
  // This balancer's report. It contains the servers that leave requests of this
  // balancer unanswered, and those for which `fleet` has evidence: without the
  // answers that balancers get who have lost no request there, sound servers
  // would look bad.
  const load_exchange::LoadReport& Report(const steering::Steering& steering,
                                          const load_exchange::FleetLoad& fleet,
                                          base::TimePoint now);
  // Applies the evidence about servers and the number of balancers. To be
  // called several times a second.
  void Apply(const load_exchange::FleetLoad& fleet,
             steering::Steering& steering,
             base::TimePoint now);

 private:
  using Openings = std::map<std::string, std::uint64_t>;

  // The openings of `service` per second since the oldest sample.
  std::uint32_t OpeningsPerSecond(const std::string& service,
                                  const Openings& openings,
                                  base::TimePoint now) const;

  std::uint32_t m_data_centre;
  base::Random m_random;
  load_exchange::LoadReport m_report;
  std::optional<base::TimePoint> m_reported_at;
  // The unanswered requests of each server, by token, at the last report. Those
  // that are not answered by the next report either are reported: the answer to
  // a long request often follows soon after the request is overdue.
  std::map<std::uint32_t, double> m_unanswered;
  // The numbers of openings of the last kCountingTime, oldest first.
  std::deque<std::pair<base::TimePoint, Openings>> m_samples;
};

}  // namespace edge

#endif  // LIBEDGE_LOAD_COLLECTOR_H_
