// The admin server of a balancer. It connects the console of LibConsole to the
// document submitter and to the log.

#ifndef SERVICES_COLTSFOOTDALE_ADMIN_CONSOLE_H_
#define SERVICES_COLTSFOOTDALE_ADMIN_CONSOLE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibConfiguration/settings.h"
#include "LibConsole/console_callbacks.h"
#include "LibConsole/document_in_force.h"
#include "LibConsole/submit_outcome.h"
#include "LibEventLoop/listener_problem.h"
#include "LibObservability/event.h"
#include "LibObservability/rate_limiter.h"
#include "document_submitter.h"
#include "status_view.h"

namespace console {
class AdminServer;
}  // namespace console

namespace service {

// Used on the thread that runs the io_context.
class AdminConsole {
 public:
  // Functions that supply the content of the pages. Each must be set. They are
  // called on the thread that runs the io_context.
  struct Sources {
    std::function<StatusView()> m_status;
    // Returns the metrics in the Prometheus text format.
    std::function<std::string()> m_metrics;
    // Passes the burn report to the callback, at once or later.
    std::function<void(const console::ConsoleCallbacks::ReportCallback&)>
        m_report;
    std::function<console::DocumentInForce()> m_document_in_force;
  };

  // Listens on the admin address of `settings`. `client` must outlive the
  // object. Returns a system error if the address cannot be bound.
  static base::Outcome<std::unique_ptr<AdminConsole>> Create(
      asio::io_context& context,
      const configuration::Settings& settings,
      platform::PlatformClient& client,
      const Sources& sources);
  ~AdminConsole();
  AdminConsole(const AdminConsole&) = delete;
  AdminConsole& operator=(const AdminConsole&) = delete;

  // Queries.
  // The address on which the server listens.
  const base::Endpoint& endpoint() const;

 private:
  AdminConsole(asio::io_context& context, platform::PlatformClient& client);

  console::ConsoleCallbacks MakeCallbacks(const Sources& sources);
  // Logs the refusal, with a limited number of lines for each reason.
  void OnRefusedRequest(std::string_view reason);
  void OnListenerProblem(event_loop::ListenerProblem problem,
                         std::error_code error);
  // Whether a line of `event` may be written. Logs the number of omitted lines.
  bool AdmitLine(observability::Event event, std::string_view reason);

  DocumentSubmitter m_submitter;
  // Limits the log lines on refused requests and listener problems.
  observability::RateLimiter m_log_limiter;
  std::unique_ptr<console::AdminServer> m_server;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_ADMIN_CONSOLE_H_
