// What the console needs of the process that it runs in.

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

// Every function must be set. All are called on the thread that serves the
// console, and only m_report and m_submit may answer
// later.
struct ConsoleCallbacks {
  // Queries.
  std::function<bool()> m_is_ready;
  // A JSON object.
  std::function<std::string()> m_status;
  // The Prometheus text format.
  std::function<std::string()> m_metrics;
  // Calls `answer` once, on the same thread, with the report on service-level
  // burn of all balancers.
  using ReportCallback = std::function<void(const RenderedBurnReport&)>;
  std::function<void(const ReportCallback& callback)> m_report;
  std::function<DocumentInForce()> m_document_in_force;

  // Commands.
  // Submits `document`, which is valid, to replace version `base`, and calls
  // `answer` once, on the same thread. The submission ids of `document` are
  // those of the base.
  using SubmitCallback = std::function<void(const SubmitOutcome&)>;
  std::function<void(base::ConfigurationVersion base,
                     const configuration::Document& document,
                     SubmitCallback callback)>
      m_submit;
  // Tells of a request for a change that was refused, as for a wrong token.
  std::function<void(std::string_view reason)> m_on_request_refused;
};

}  // namespace console

#endif  // LIBCONSOLE_CONSOLE_CALLBACKS_H_
