// Simulates balancers that place the openings of random callers on shared
// servers and exchange their load, on simulated time.

#ifndef TESTS_LIBLOADEXCHANGE_FLEET_MODEL_H_
#define TESTS_LIBLOADEXCHANGE_FLEET_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibEdge/load_collector.h"
#include "LibLoadExchange/load_exchange.h"
#include "LibSteering/steering.h"

namespace load_exchange {

struct FleetModelSettings {
  std::uint64_t m_seed = 1;
  std::uint32_t m_balancers = 95;
  std::uint32_t m_data_centres = 4;
  std::uint32_t m_servers = 120;
  double m_requests_per_second = 1486;
  bool m_exchanges_load = true;
  // This part of the requests takes seven times as long as the others.
  double m_long_part = 0;
  int m_work_ms = 26;
  // The server i-0 leaves this part of its requests unanswered.
  double m_lost_part = 0;
  // Balancer 5 reports that the server i-3 has answered none of its requests.
  bool m_has_false_balancer = false;
};

class FleetModel {
 public:
  explicit FleetModel(const FleetModelSettings& settings);

  // Queries.
  int Lost() const { return m_lost; }
  int RequestsOf(const std::string& server) const;
  // The largest share that ever counted against one of the servers that answer
  // all requests.
  double LargestShareOfSound() const { return m_largest_share_of_sound; }
  const FleetLoad& FleetSeenBy(std::uint32_t balancer) const {
    return m_balancers[balancer]->m_exchange.fleet();
  }

  // Commands.
  void RunFor(base::Duration duration);
  base::TimePoint Now() const { return m_now; }

 private:
  struct Balancer {
    Balancer(std::uint32_t number, const base::DataCentreId& data_centre);

    base::Ipv4Address m_address;
    steering::Steering m_steering;
    edge::LoadCollector m_collector;
    LoadExchange m_exchange;
  };

  struct Event {
    base::TimePoint m_at;
    std::uint64_t m_number = 0;
    std::function<void()> m_action;

    bool operator<(const Event& other) const {
      return std::pair(other.m_at, other.m_number) < std::pair(m_at, m_number);
    }
  };

  void Schedule(base::Duration delay, std::function<void()> action);
  bool IsReader(std::uint32_t balancer) const {
    return balancer < m_settings.m_data_centres;
  }
  base::DataCentreId DataCentre(std::uint32_t number) const;
  LoadReport ReportOf(std::uint32_t balancer);
  // The first balancer of each data centre is its reader. Balancer 0 is the
  // seed.
  void Exchange(std::uint32_t sender, std::uint32_t receiver);
  void Poll(std::uint32_t balancer);
  void Sweep(std::uint32_t balancer);
  void SendRequest();

  FleetModelSettings m_settings;
  base::Random m_random;
  base::TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_event_number = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::map<std::string, int> m_requests;
  int m_lost = 0;
  std::uint32_t m_flow = 0;
  double m_largest_share_of_sound = 0;
};

}  // namespace load_exchange

#endif  // TESTS_LIBLOADEXCHANGE_FLEET_MODEL_H_
