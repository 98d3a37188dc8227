// Settings of FlowDirector.

#ifndef LIBFLOW_FLOW_SETTINGS_H_
#define LIBFLOW_FLOW_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "LibBase/time.h"
#include "LibFlow/silence_settings.h"

namespace flow {

// Each mechanism can be turned off to measure its effect.
struct Mechanisms {
  // Stores the server of an unknown flow when the server's answer passes.
  bool m_learn_from_answers = true;
  // Relays packets to the flow's home and searches other balancers. If off,
  // every balancer acts as the home of every flow.
  bool m_relay_to_home = true;
  // Probes candidate servers for a flow that no balancer knows. If off, the
  // flow's packets go to its preferred server.
  bool m_probe = true;
  // Resends a refused or unanswered opening to another server.
  bool m_reopen_on_refusal = true;
  // Drops packets from callers after the configuration lease has expired.
  bool m_configuration_lease = true;
  // Detects silent flows (see SilenceDetector).
  bool m_detect_silence = true;
};

struct FlowSettings {
  Mechanisms m_mechanisms;
  SilenceSettings m_silence;
  // Maximum size of the flow table.
  std::size_t m_table_bytes = std::size_t{48} << 20;
  // Maximum number of openings that are stored for a resend.
  std::size_t m_maximum_openings = 65536;
  // Each probe stores one packet.
  std::size_t m_maximum_probes = 4096;
  // Maximum number of searches and probes started per second.
  double m_searches_per_second = 2000;
  // Balancers that a search reaches, not counting the home.
  std::size_t m_search_hops = 3;
  // Packets sent to a server without an answer before a balancer that is not
  // the home relays the next packet to the home.
  std::uint8_t m_unanswered_limit = 4;
  // How long an opening is stored after it was first sent. Later, the opening
  // is not resent and the delay of its answer is not reported.
  base::Duration m_opening_deadline = std::chrono::seconds(10);
  // When the caller repeats an opening that its server has not answered for
  // this long, the opening goes to another server.
  base::Duration m_opening_answer_timeout = std::chrono::milliseconds(900);
  // A probe moves to the next candidate when one has not answered for the
  // timeout. The probe is given up after its deadline.
  base::Duration m_probe_answer_timeout = std::chrono::milliseconds(1500);
  base::Duration m_probe_deadline = std::chrono::seconds(60);
  // How long an idle entry stays: at the home; on a balancer that only learned
  // the flow, at least and at most (between these, as long as the flow has
  // lived); after a side has closed.
  base::Duration m_home_idle_timeout = std::chrono::hours(1);
  base::Duration m_learned_idle_timeout_minimum = std::chrono::seconds(20);
  base::Duration m_learned_idle_timeout_maximum = std::chrono::minutes(10);
  base::Duration m_closing_idle_timeout = std::chrono::seconds(10);
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_SETTINGS_H_
