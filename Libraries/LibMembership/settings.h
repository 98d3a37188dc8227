// The periods, timeouts and budgets of the membership protocol.

#ifndef LIBMEMBERSHIP_SETTINGS_H_
#define LIBMEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "LibBase/time.h"

namespace membership {

struct Settings {
  // The interval between probes; each probe is of one member.
  base::Duration m_probe_period = std::chrono::milliseconds(150);
  // The time after which an unacknowledged probe is repeated and indirect
  // probes are requested from other members.
  base::Duration m_direct_timeout = std::chrono::milliseconds(100);
  // The time after which an unacknowledged probe has failed.
  base::Duration m_probe_timeout = std::chrono::milliseconds(300);
  // The time that a suspected member has to refute in a small data centre. The
  // time grows with the logarithm of the number of members.
  base::Duration m_suspicion_timeout = std::chrono::milliseconds(400);
  // The interval between pings of a suspected member, which let it refute.
  base::Duration m_suspect_ping_period = std::chrono::milliseconds(100);
  // The interval between pings of listed VMs that are not members.
  base::Duration m_contact_period = std::chrono::milliseconds(500);
  // The interval at which each delegate pings each other data centre. Delegates
  // are the few members of a data centre that contact another data centre.
  base::Duration m_remote_period = std::chrono::seconds(2);
  // A gap of at least this length between calls of Advance is reported as a
  // pause.
  base::Duration m_pause_threshold = std::chrono::seconds(1);
  // How long the record of a dead member is kept, so that an outdated update
  // cannot revive the member.
  base::Duration m_tombstone_lifetime = std::chrono::minutes(10);
  // Members that are requested to send an indirect probe.
  std::size_t m_indirect_probes = 3;
  // Members to which an update is pushed at once.
  std::size_t m_push_fanout = 3;
  // Members to which a balancer announces a new state of its own.
  std::size_t m_announcement_fanout = 16;
  // Budget of the messages that push updates at once.
  std::size_t m_push_bytes_per_second = 3'000;
  std::size_t m_push_burst_bytes = 6'000;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_SETTINGS_H_
