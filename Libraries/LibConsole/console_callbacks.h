// The functions through which the console reads the state of its process and
// requests changes.

#ifndef LIBCONSOLE_CONSOLE_CALLBACKS_H_
#define LIBCONSOLE_CONSOLE_CALLBACKS_H_

#include <functional>
#include <string>
#include <string_view>

#include "LibBase/ids.h"
#include "LibConfiguration/document.h"
#include "LibConsole/document_in_force.h"
#include "LibConsole/rendered_burn_report.h"
#include "LibConsole/submit_outcome.h"

namespace console {

// Every function must be set. The console calls all functions on the thread
// that serves the console. m_report and m_submit may deliver their results
// after they return.
struct ConsoleCallbacks {
  // Queries.
  // Returns whether the process is ready, for /ready.
  std::function<bool()> m_is_ready;
  // Returns the state of the process as a JSON object, for /status.
  std::function<std::string()> m_status;
  // Returns the metrics in the Prometheus text format.
  std::function<std::string()> m_metrics;
  // Calls `callback` once, on the console's thread, with the burn report of all
  // balancers.
  using ReportCallback = std::function<void(const RenderedBurnReport&)>;
  std::function<void(const ReportCallback& callback)> m_report;
  std::function<DocumentInForce()> m_document_in_force;

  // Commands.
  // Submits `document` to replace version `base`, and calls `callback` once, on
  // the console's thread, with the outcome. `document` is valid and has the
  // submission ids of version `base`.
  using SubmitCallback = std::function<void(const SubmitOutcome&)>;
  std::function<void(base::ConfigurationVersion base,
                     const configuration::Document& document,
                     SubmitCallback callback)>
      m_submit;
  // Called when the console refuses a request for a change, for example because
  // of a wrong token.
  std::function<void(std::string_view reason)> m_on_request_refused;
};

}  // namespace console

#endif  // LIBCONSOLE_CONSOLE_CALLBACKS_H_
