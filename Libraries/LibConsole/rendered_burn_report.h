// The report on service-level burn as the console shows it.

#ifndef LIBCONSOLE_RENDERED_BURN_REPORT_H_
#define LIBCONSOLE_RENDERED_BURN_REPORT_H_

#include <string>

namespace console {

struct RenderedBurnReport {
  // One line that says whose counts are in the report.
  std::string m_coverage;
  // Whether all that should be in it are.
  bool m_is_complete = true;
  // A line for each objective.
  std::string m_text;
  // The same as an <svg> element whose texts are escaped; may be empty.
  std::string m_chart;
};

}  // namespace console

#endif  // LIBCONSOLE_RENDERED_BURN_REPORT_H_
