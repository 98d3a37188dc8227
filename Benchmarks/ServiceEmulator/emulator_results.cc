#include "ServiceEmulator/emulator_results.h"

#include <algorithm>
#include <cstddef>

namespace service_emulator {

namespace {

double Ratio(double part, double whole) {
  return whole > 0.0 ? part / whole : 0.0;
}

}  // namespace

double EmulatorResults::WaitQuantile(double share) const {
  if (m_waits.empty())
    return 0.0;
  std::vector<double> sorted = m_waits;
  const auto rank =
      static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size()));
  const auto position =
      sorted.begin() +
      std::min(rank, static_cast<std::ptrdiff_t>(sorted.size()) - 1);
  std::nth_element(sorted.begin(), position, sorted.end());
  return *position;
}

double EmulatorResults::MeanImbalance() const {
  return Ratio(m_imbalance_sum, static_cast<double>(m_imbalance_samples));
}

double EmulatorResults::ExceptionShare() const {
  return Ratio(static_cast<double>(m_exceptions),
               static_cast<double>(m_placed));
}

double EmulatorResults::LongExceptionShare() const {
  return Ratio(static_cast<double>(m_long_exceptions),
               static_cast<double>(m_placed));
}

double EmulatorResults::SentPerReceived() const {
  return Ratio(static_cast<double>(m_sent), static_cast<double>(m_received));
}

double EmulatorResults::SentPerReceivedSinceStart() const {
  return Ratio(static_cast<double>(m_sent_since_start),
               static_cast<double>(m_received_since_start));
}

double EmulatorResults::PeerBytesPerSecond() const {
  return Ratio(static_cast<double>(m_peer_bytes),
               m_balancers * m_measured_seconds);
}

double EmulatorResults::RefusedShare() const {
  return Ratio(static_cast<double>(m_refused), static_cast<double>(m_received));
}

double EmulatorResults::Goodput() const {
  return Ratio(m_useful_work, m_possible_work);
}

}  // namespace service_emulator
