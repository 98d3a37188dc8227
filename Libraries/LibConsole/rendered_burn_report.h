// A burn report, rendered for display in the console.

#ifndef LIBCONSOLE_RENDERED_BURN_REPORT_H_
#define LIBCONSOLE_RENDERED_BURN_REPORT_H_

#include <string>

namespace console {

struct RenderedBurnReport {
  // One line that states which balancers the report covers.
  std::string m_coverage;
  // Whether the report covers every balancer that it should cover.
  bool m_is_complete = true;
  // A text table with a row for each objective of each service.
  std::string m_text;
  // A chart of the report as an <svg> element with escaped texts. May be empty.
  std::string m_chart;
};

}  // namespace console

#endif  // LIBCONSOLE_RENDERED_BURN_REPORT_H_
