// What an emulated service and its balancers are like, and what befalls them.

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

// What the balancers know besides load reports and their own openings.
enum class LoadInformation {
  // Nothing.
  kReportsOnly,
  // The ends of the flows whose last packet happens to pass them.
  kPassingFlowEnds,
  // The ends of its own flows, and the other balancers' counts from time to
  // time.
  kPeerCounts,
  // The true load of every server at every moment.
  kPerfect,
};

// A server that misbehaves throughout the run.
enum class Misbehaviour {
  kNone,
  // Reports no load at all.
  kReportsIdle,
  // Reports twice its slots busy.
  kReportsBusy,
  // Runs each request four times as long and reports no load.
  kSlowAndReportsIdle,
};

struct EmulatorSettings {
  std::uint64_t m_seed = 1;
  std::uint32_t m_servers = 15;
  std::uint32_t m_slots = 3;
  std::uint32_t m_balancers = 7;
  // Mean load offered, as a share of all slots.
  double m_utilisation = 0.8;
  base::Duration m_mean_service_time = std::chrono::seconds(2);
  // This share of the flows are feeds: they last long and take no slot.
  double m_feed_share = 0.0;
  base::Duration m_mean_feed_time = std::chrono::seconds(60);
  base::Duration m_warm_up = std::chrono::seconds(30);
  base::Duration m_measured = std::chrono::seconds(600);

  // Each balancer asks each server for its load in this period; the answer was
  // true m_report_lag ago, which nobody tells the balancer.
  base::Duration m_report_period = std::chrono::milliseconds(500);
  base::Duration m_report_lag = std::chrono::milliseconds(100);
  LoadInformation m_load_information = LoadInformation::kReportsOnly;
  // How often balancers tell their peers of their counts, and how long that is
  // on the way.
  membership::LoadPublisherSettings m_load_publisher;
  base::Duration m_peer_delay = std::chrono::milliseconds(1);

  Misbehaviour m_misbehaviour = Misbehaviour::kNone;
  // Two servers in turn drain and are replaced by cold ones in this period.
  std::optional<base::Duration> m_replacement_period;
  base::Duration m_cold_time = std::chrono::seconds(10);
  double m_cold_service_factor = 3.0;
  // A server refuses openings while this many requests queue.
  std::size_t m_queue_limit = std::numeric_limits<std::size_t>::max();
  // The first server refuses everything in the first third of this period.
  std::optional<base::Duration> m_refusal_period;

  // The load offered in the middle of the run, as a share of all slots.
  std::optional<double> m_overload_utilisation;
  base::Duration m_overload_time = std::chrono::seconds(60);
  // Callers whose request does not run within this time leave without telling
  // anyone. Those and the ones that are refused try again as often as is said
  // here.
  base::Duration m_caller_timeout = std::chrono::hours(1);
  std::uint32_t m_caller_retries = 0;
  base::Duration m_caller_retry_wait = std::chrono::seconds(1);

  placement::LoadSettings m_load;
  placement::PlacementPolicy m_policy;
  admission::AdmissionSettings m_admission;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATOR_SETTINGS_H_
