// Describes an emulated service, its balancers, its callers and a burst.

#ifndef ADMISSION_EMULATOR_DEPLOYMENT_H_
#define ADMISSION_EMULATOR_DEPLOYMENT_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace admission_emulator {

// One kind of request, which has one route.
struct RequestClass {
  std::string m_name;
  std::uint32_t m_priority = 0;
  double m_worth = 1;
  double m_rate_per_second = 0;
  double m_work_seconds = 0;
  double m_target_seconds = 0;
  double m_limit_seconds = 0;
};

struct Deployment {
  std::vector<RequestClass> m_classes;
  std::size_t m_data_centres = 1;
  std::size_t m_balancers = 1;
  std::size_t m_servers = 1;
  std::uint32_t m_slots = 2;
  std::size_t m_queue = 8;
  // The share of requests that take seven times as long.
  double m_slow_share = 0;
  double m_remote_latency_seconds = 0;
  double m_caller_latency_seconds = 0.003;
  // The number of requests that a flow carries, and the mean pause between two.
  // The pages give no number; a flow of 10 requests with these pauses has a
  // request in progress about a twentieth of the time.
  std::uint32_t m_requests_per_flow = 1;
  double m_pause_seconds = 0.8;
  // The time that a server with a full queue takes to refuse a request.
  double m_refusal_seconds = 0;

  // The slots that the usual demand occupies.
  double UsedSlots() const;
  double Slots() const { return double(m_servers) * m_slots; }
};

// Deployments A and B of docs/TWO-CUSTOMERS.md, their service with two
// priorities.
Deployment DeploymentA();
Deployment DeploymentB();

enum class Admission { kOff, kByPriority };
// To which balancer of its data centre a caller's next flow goes.
enum class RetryPath { kAnyBalancer, kSameBalancer };

struct Scenario {
  Deployment m_deployment;
  Admission m_admission = Admission::kByPriority;
  RetryPath m_retry_path = RetryPath::kAnyBalancer;
  std::uint64_t m_seed = 1;
  double m_end_seconds = 12;
  // From m_burst_start to m_burst_end, the demand is multiplied and servers
  // are unreachable.
  double m_burst_start_seconds = 4;
  double m_burst_end_seconds = 8;
  double m_burst_factor = 9;
  double m_lost_servers = 0;
  // Multiplies the rate of callers in the first data centre and lowers that of
  // the others so that the sum is unchanged.
  double m_first_data_centre_factor = 1;
  // A balancer handles packets only at multiples of this time; zero: at once.
  double m_late_processor_seconds = 0;
  // Callers share this many addresses; zero: each caller has its own.
  std::uint32_t m_shared_addresses = 0;
  // The bytes of a refusal by a server; served answers have 1,400.
  std::uint32_t m_refusal_bytes = 150;
  // The share of served answers as short as a refusal.
  double m_short_answers = 0;
  // The share of refusals by servers that balancers do not recognise.
  double m_unseen_refusals = 0;
  // The cost of a server in another data centre, see PlacementPolicy.
  double m_remote_penalty = 1.0;
  // Whether openings leave a data centre in which requests wait longer.
  bool m_adapts_placement = true;
  // Requests that start in this period are counted in Results.
  double m_count_from_seconds = 0;
  double m_count_to_seconds = std::numeric_limits<double>::infinity();
};

}  // namespace admission_emulator

#endif  // ADMISSION_EMULATOR_DEPLOYMENT_H_
