// Settings of an emulated service, its balancers, its callers and the faults
// injected into it.

#ifndef SERVICE_EMULATOR_EMULATOR_SETTINGS_H_
#define SERVICE_EMULATOR_EMULATOR_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "LibAdmission/admission_controller.h"
#include "LibBase/time.h"
#include "LibMembership/load_publisher.h"
#include "LibPlacement/load_settings.h"
#include "LibPlacement/placement_policy.h"

namespace service_emulator {

// The load information that balancers have besides load reports and their own
// openings.
enum class LoadInformation {
  // No further information.
  kReportsOnly,
  // The ends of flows whose last packet passes the balancer.
  kPassingFlowEnds,
  // The ends of the balancer's own flows, and the other balancers' published
  // counts.
  kPeerCounts,
  // The true current load of every server.
  kPerfect,
};

// Misbehaviour of the first server throughout the run.
enum class Misbehaviour {
  kNone,
  // Reports no load.
  kReportsIdle,
  // Reports twice as many running requests as it has slots.
  kReportsBusy,
  // Runs each request four times as long and reports no load.
  kSlowAndReportsIdle,
};

struct EmulatorSettings {
  std::uint64_t m_seed = 1;
  std::uint32_t m_servers = 15;
  std::uint32_t m_slots = 3;
  std::uint32_t m_balancers = 7;
  // Mean offered load as a share of all slots.
  double m_utilisation = 0.8;
  base::Duration m_mean_service_time = std::chrono::seconds(2);
  // Share of the flows that are feeds: long flows that occupy no slot.
  double m_feed_share = 0.0;
  base::Duration m_mean_feed_time = std::chrono::seconds(60);
  base::Duration m_warm_up = std::chrono::seconds(30);
  base::Duration m_measured = std::chrono::seconds(600);

  // Each balancer polls each server for its load with this period. The report
  // states the load m_report_lag ago and an age of zero.
  base::Duration m_report_period = std::chrono::milliseconds(500);
  base::Duration m_report_lag = std::chrono::milliseconds(100);
  LoadInformation m_load_information = LoadInformation::kReportsOnly;
  // How often balancers publish their counts to their peers, and the network
  // delay of the messages.
  membership::LoadPublisherSettings m_load_publisher;
  base::Duration m_peer_delay = std::chrono::milliseconds(1);

  Misbehaviour m_misbehaviour = Misbehaviour::kNone;
  // Once per period, two servers drain and two cold servers replace them.
  std::optional<base::Duration> m_replacement_period;
  base::Duration m_cold_time = std::chrono::seconds(10);
  double m_cold_service_factor = 3.0;
  // A server refuses openings while this many requests are queued.
  std::size_t m_queue_limit = std::numeric_limits<std::size_t>::max();
  // The first server refuses all openings in the first third of each period.
  std::optional<base::Duration> m_refusal_period;

  // Offered load as a share of all slots during the first m_overload_time of
  // the measurement.
  std::optional<double> m_overload_utilisation;
  base::Duration m_overload_time = std::chrono::seconds(60);
  // A caller whose request has not started within m_caller_timeout gives up
  // without informing the balancer or the server. A caller that gave up or was
  // refused retries up to m_caller_retries times.
  base::Duration m_caller_timeout = std::chrono::hours(1);
  std::uint32_t m_caller_retries = 0;
  base::Duration m_caller_retry_wait = std::chrono::seconds(1);

  placement::LoadSettings m_load;
  placement::PlacementPolicy m_policy;
  admission::AdmissionSettings m_admission;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATOR_SETTINGS_H_
