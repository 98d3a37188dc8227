// What one run of the emulator measured.

#ifndef SERVICE_EMULATOR_EMULATOR_RESULTS_H_
#define SERVICE_EMULATOR_EMULATOR_RESULTS_H_

#include <cstdint>
#include <vector>

namespace service_emulator {

struct EmulatorResults {
  // Queries.
  // The wait in seconds that this share of the requests did not exceed.
  double WaitQuantile(double share) const;
  double MeanImbalance() const;
  // Share of the flows placed that are not on their first hash choice.
  double ExceptionShare() const;
  // Share of the flows placed that are not, and live on when exceptions are
  // shared.
  double LongExceptionShare() const;
  // Openings sent to servers for each one received, while measured and since
  // the start of the run.
  double SentPerReceived() const;
  double SentPerReceivedSinceStart() const;
  // Bytes a second that each balancer sends to tell its peers of its counts.
  double PeerBytesPerSecond() const;
  double RefusedShare() const;
  // Work done for callers who were still there, as a share of what all slots
  // could do.
  double Goodput() const;

  // From opening to running, in seconds, of each flow that ran.
  std::vector<double> m_waits;
  // Over samples: the highest load of a server, running and queued, over the
  // mean.
  double m_imbalance_sum = 0.0;
  std::uint64_t m_imbalance_samples = 0;
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
  // In seconds of service time on a warm server.
  double m_useful_work = 0.0;
  double m_possible_work = 0.0;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATOR_RESULTS_H_
