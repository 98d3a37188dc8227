#include "LibFlow/silence_budget.h"

#include <algorithm>
#include <chrono>

namespace flow {

namespace {

// A peer message without streams, including IP and UDP headers.
constexpr double kMessageBytes = 84;
// An encoded peer::WatchedStream.
constexpr double kRequestedStreamBytes = 13;
// An encoded peer::StreamReport.
constexpr double kReportedStreamBytes = 4;
// Part of the budget that requests leave for replies to peers.
constexpr double kReplyReserveBytes = 700;

double ReplyBytes(std::size_t streams) {
  return kMessageBytes + kReportedStreamBytes * static_cast<double>(streams);
}

// How many streams fit in a request if sending it to all peers costs `bytes`.
double StreamsFor(double bytes, std::size_t peers) {
  const double for_each_peer =
      (bytes - kReplyReserveBytes) / static_cast<double>(peers);
  return (for_each_peer - kMessageBytes) / kRequestedStreamBytes;
}

double RequestBytes(std::size_t streams) {
  return kMessageBytes + kRequestedStreamBytes * static_cast<double>(streams);
}

}  // namespace

std::size_t SilenceBudget::AffordableStreams(std::size_t wanted,
                                             std::size_t peers) const {
  if (peers == 0)
    return wanted;
  // Small requests would spend the budget on headers. The budget therefore
  // allows a request only when all wanted streams are affordable, or as many as
  // the full budget ever allows.
  const double affordable = StreamsFor(m_bytes, peers);
  const double maximum = StreamsFor(m_burst_bytes, peers);
  if (maximum < 1 ||
      affordable < std::min(static_cast<double>(wanted), maximum))
    return 0;
  return std::min(wanted, static_cast<std::size_t>(affordable));
}

bool SilenceBudget::CanReply(std::size_t streams) const {
  return m_bytes >= ReplyBytes(streams);
}

void SilenceBudget::Refill(base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - m_refilled;
  m_refilled = now;
  m_bytes =
      std::min(m_burst_bytes, m_bytes + elapsed.count() * m_bytes_per_second);
}

void SilenceBudget::SpendOnRequest(std::size_t streams, std::size_t peers) {
  m_bytes -= RequestBytes(streams) * static_cast<double>(peers);
}

void SilenceBudget::SpendOnReply(std::size_t streams) {
  m_bytes -= ReplyBytes(streams);
}

}  // namespace flow
