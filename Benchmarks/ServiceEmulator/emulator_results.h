// Measurements of one emulator run.

#ifndef SERVICE_EMULATOR_EMULATOR_RESULTS_H_
#define SERVICE_EMULATOR_EMULATOR_RESULTS_H_

#include <cstdint>
#include <vector>

namespace service_emulator {

struct EmulatorResults {
  // Queries.
  // Returns the quantile `share` (0 to 1) of the waits in seconds.
  double WaitQuantile(double share) const;
  // Mean over the samples of the highest utilisation of a server divided by the
  // mean utilisation.
  double MeanImbalance() const;
  // Share of the placed flows that are exceptions: flows off their first hash
  // choice.
  double ExceptionShare() const;
  // Share of the placed flows that are exceptions and live long enough to be
  // shared with other balancers.
  double LongExceptionShare() const;
  // Openings sent to servers per opening received, during the measurement and
  // since the start of the run.
  double SentPerReceived() const;
  double SentPerReceivedSinceStart() const;
  // Bytes per second that each balancer sends to publish its counts to its
  // peers.
  double PeerBytesPerSecond() const;
  double RefusedShare() const;
  // Work done for callers who had not given up, as a share of the capacity of
  // all slots.
  double Goodput() const;

  // Seconds from opening to running, one value per completed request.
  std::vector<double> m_waits;
  // Sum over the samples of the highest utilisation of a server divided by the
  // mean utilisation.
  double m_imbalance_sum = 0.0;
  std::uint64_t m_imbalance_samples = 0;
  // Openings received from callers and openings sent to servers, during the
  // measurement and since the start of the run.
  std::uint64_t m_received = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_received_since_start = 0;
  std::uint64_t m_sent_since_start = 0;
  std::uint64_t m_placed = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_exceptions = 0;
  std::uint64_t m_long_exceptions = 0;
  std::uint64_t m_peer_bytes = 0;
  std::uint32_t m_balancers = 0;
  double m_measured_seconds = 0.0;
  // Work in seconds of service time on a warm server.
  double m_useful_work = 0.0;
  // The work that all slots could do during the measurement.
  double m_possible_work = 0.0;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATOR_RESULTS_H_
