// The periods, timeouts and budgets of the membership protocol.

#ifndef LIBMEMBERSHIP_SETTINGS_H_
#define LIBMEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "LibBase/time.h"

namespace membership {

struct Settings {
  // How often one member is probed.
  base::Duration m_probe_period = std::chrono::milliseconds(150);
  // When a probe is repeated and other members are asked to probe too.
  base::Duration m_direct_timeout = std::chrono::milliseconds(100);
  // When a probe has failed.
  base::Duration m_probe_timeout = std::chrono::milliseconds(300);
  // How long a suspected member of a small data centre has to refute; it grows
  // with the logarithm of the number of members.
  base::Duration m_suspicion_timeout = std::chrono::milliseconds(400);
  base::Duration m_suspect_ping_period = std::chrono::milliseconds(100);
  // How often a VM of the platform's list that is not a member is pinged.
  base::Duration m_contact_period = std::chrono::milliseconds(500);
  // How often each other data centre is pinged by each delegate.
  base::Duration m_remote_period = std::chrono::seconds(2);
  // A longer time between two calls of Advance is reported as a pause.
  base::Duration m_pause_threshold = std::chrono::seconds(1);
  // How long a dead member is remembered so that old news can't revive it.
  base::Duration m_tombstone_lifetime = std::chrono::minutes(10);
  std::size_t m_indirect_probes = 3;
  std::size_t m_push_fanout = 3;
  std::size_t m_announcement_fanout = 16;
  // Budget of the messages that pass news on at once.
  std::size_t m_push_bytes_per_second = 3'000;
  std::size_t m_push_burst_bytes = 6'000;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_SETTINGS_H_
