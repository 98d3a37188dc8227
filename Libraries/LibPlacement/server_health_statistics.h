// Statistics on how one backend server responds to the openings of this
// balancer. The server's ejection and the credibility of its load reports
// depend on them. Averages are over openings, not over time, so that they suit
// a balancer that sends the server one opening in ten seconds as well as one
// that sends hundreds a second.

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
  // Openings accepted or refused since the server was added or last ejected.
  std::uint32_t OpeningSamples() const { return m_opening_samples; }
  // Moving average of the share of openings that were refused, 0 to 1.
  double RefusedShare() const { return m_refused_share; }
  // Moving average of the answer delay in seconds, and the number of answers
  // since the server was added or last ejected.
  double MeanDelay() const { return m_mean_delay; }
  std::uint32_t DelaySamples() const { return m_delay_samples; }
  // Weight given to the server's load reports, from kMinimumCredibility to 1.
  double ReportCredibility() const { return m_report_credibility; }
  bool IsEjected(base::TimePoint now) const { return now < m_ejected_until; }
  base::TimePoint EjectedUntil() const { return m_ejected_until; }
  // Number of ejections in a row, which determines the duration of the next.
  // The row ends when more than the maximum ejection time has passed since the
  // end of the last ejection.
  std::uint32_t ConsecutiveEjections() const { return m_consecutive_ejections; }

  // Commands.
  void RecordOpeningAccepted() { RecordOpeningResult(0.0); }
  void RecordDelay(base::Duration delay);
  // Records a refusal, which is also evidence of load (see
  // RecordEvidenceOfLoad).
  void RecordOpeningRefused();
  // Records an answer that was slower than those of the server's peers, or a
  // report that claims far fewer requests than the open flows suggest. Such
  // evidence contradicts a report of an idle server.
  void RecordEvidenceOfLoad() { m_has_evidence_of_load = true; }
  // Records a load report. `is_idle` is whether the report claims a free slot
  // and fewer connections than the limit. An idle report after evidence of load
  // lowers the credibility; any other report raises the credibility.
  void RecordReport(bool is_idle);
  // Ejects the server from `now`. The duration doubles with each consecutive
  // ejection, up to a maximum, and has random jitter.
  void Eject(const OutlierSettings& settings,
             base::TimePoint now,
             base::Random& random);

  static constexpr double kMinimumCredibility = 0.1;

 private:
  // Weights of the newest opening and of the newest delay in the moving
  // averages.
  static constexpr double kRefusedWeight = 0.25;
  static constexpr double kDelayWeight = 0.3;
  // Multiplies the credibility at an idle report after evidence of load.
  static constexpr double kCredibilityLossFactor = 0.5;
  // Added to the credibility at any other report.
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
