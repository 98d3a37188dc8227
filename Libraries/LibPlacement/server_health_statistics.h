// How a backend server has answered the openings of this balancer: the evidence
// for ejecting it and for distrusting its load reports. Averages run over
// openings, not over time, so that they serve a balancer that sends it one
// opening in ten seconds as well as one that sends hundreds a second.

#ifndef LIBPLACEMENT_SERVER_HEALTH_STATISTICS_H_
#define LIBPLACEMENT_SERVER_HEALTH_STATISTICS_H_

#include <cstdint>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlacement/load_settings.h"

namespace placement {

class ServerHealthStatistics {
 public:
  // Queries.
  // Openings accepted or refused since the server was added or its ejection
  // ended.
  std::uint32_t OpeningSamples() const { return m_opening_samples; }
  // Moving share of openings that were refused, 0 to 1.
  double RefusedShare() const { return m_refused_share; }
  // Moving mean of the delay of answers in seconds, and over how many.
  double MeanDelay() const { return m_mean_delay; }
  std::uint32_t DelaySamples() const { return m_delay_samples; }
  // How far the server's reports are believed: from kMinimumCredibility to 1.
  double ReportCredibility() const { return m_report_credibility; }
  bool IsEjected(base::TimePoint now) const { return now < m_ejected_until; }
  base::TimePoint EjectedUntil() const { return m_ejected_until; }
  // For how many ejections in a row the server has been sent away.
  std::uint32_t ConsecutiveEjections() const { return m_consecutive_ejections; }

  // Commands.
  void RecordOpeningAccepted() { RecordOpeningResult(0.0); }
  void RecordDelay(base::Duration delay);
  void RecordOpeningRefused();
  // An answer was slower than those of the server's peers, or a report does
  // not fit the flows that are open.
  void RecordEvidenceOfLoad() { m_has_evidence_of_load = true; }
  // Takes in a report. An idle one after a refusal or a contradiction lowers
  // the credit; one without contradiction raises it.
  void RecordReport(bool is_idle);
  // Ejects the server from `now`, for longer than last time.
  void Eject(const OutlierSettings& settings,
             base::TimePoint now,
             base::Random& random);

  static constexpr double kMinimumCredibility = 0.1;

 private:
  static constexpr double kRefusedWeight = 0.25;
  static constexpr double kDelayWeight = 0.3;
  static constexpr double kCredibilityLossFactor = 0.5;
  static constexpr double kCredibilityGain = 0.02;

  void RecordOpeningResult(double refused);

  std::uint32_t m_opening_samples = 0;
  double m_refused_share = 0.0;
  std::uint32_t m_delay_samples = 0;
  double m_mean_delay = 0.0;
  double m_report_credibility = 1.0;
  bool m_has_evidence_of_load = false;
  std::uint32_t m_consecutive_ejections = 0;
  base::TimePoint m_ejected_until = base::TimePoint::min();
};

}  // namespace placement

#endif  // LIBPLACEMENT_SERVER_HEALTH_STATISTICS_H_
