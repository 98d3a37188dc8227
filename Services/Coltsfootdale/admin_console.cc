#include "admin_console.h"

#include <utility>
#include <variant>

#include "LibBase/overloaded.h"
#include "LibConsole/admin_server.h"
#include "LibObservability/log.h"

namespace service {

namespace {

using observability::Event;
using observability::Severity;
using observability::WriteLog;

void LogOutcome(base::ConfigurationVersion base,
                const console::SubmitOutcome& outcome) {
  std::visit(
      base::Overloaded{
          [&](const console::SubmitAccepted& accepted) {
            WriteLog(Severity::kInfo, Event::kConfigurationSubmitted,
                     {{"base", base.value()},
                      {"version", accepted.m_version.value()}});
          },
          [&](const console::SubmitRefused& refused) {
            WriteLog(Severity::kWarning, Event::kSubmissionRefused,
                     {{"base", base.value()}, {"reason", refused.m_reason}});
          },
          [&](const console::SubmitConflict& conflict) {
            WriteLog(Severity::kInfo, Event::kSubmissionConflict,
                     {{"base", base.value()},
                      {"version", conflict.m_current.m_version.value()}});
          },
          [&](const console::SubmitUnavailable&) {
            WriteLog(Severity::kWarning, Event::kPlatformUnreachable,
                     {{"base", base.value()}});
          },
          [&](const console::SubmitUnknown& unknown) {
            WriteLog(
                Severity::kWarning, Event::kSubmissionUnknown,
                {{"base", base.value()}, {"submission", unknown.m_submission}});
          }},
      outcome);
}

}  // namespace

base::Outcome<std::unique_ptr<AdminConsole>> AdminConsole::Create(
    asio::io_context& context,
    const configuration::Settings& settings,
    platform::PlatformClient& client,
    const Sources& sources) {
  std::unique_ptr<AdminConsole> admin(new AdminConsole(context, client));
  TRY(server, console::AdminServer::Create(
                  context, settings.m_admin, admin->MakeCallbacks(sources),
                  settings.m_operator_token,
                  [raw = admin.get()](event_loop::ListenerProblem problem,
                                      std::error_code error) {
                    raw->OnListenerProblem(problem, error);
                  }));
  admin->m_server = std::move(server);
  return admin;
}

AdminConsole::AdminConsole(asio::io_context& context,
                           platform::PlatformClient& client)
    : m_submitter(context, client) {}

AdminConsole::~AdminConsole() = default;

const base::Endpoint& AdminConsole::endpoint() const {
  return m_server->endpoint();
}

console::ConsoleCallbacks AdminConsole::MakeCallbacks(const Sources& sources) {
  console::ConsoleCallbacks callbacks;
  callbacks.m_is_ready = [status = sources.m_status] {
    return status().m_is_ready;
  };
  callbacks.m_status = [status = sources.m_status] { return ToJson(status()); };
  callbacks.m_metrics = sources.m_metrics;
  callbacks.m_report = sources.m_report;
  callbacks.m_document_in_force = sources.m_document_in_force;
  callbacks.m_submit = [this](
                           base::ConfigurationVersion base,
                           const configuration::Document& document,
                           console::ConsoleCallbacks::SubmitCallback callback) {
    m_submitter.Submit(base, document,
                       [base, callback = std::move(callback)](
                           const console::SubmitOutcome& outcome) {
                         LogOutcome(base, outcome);
                         callback(outcome);
                       });
  };
  callbacks.m_on_request_refused = [this](std::string_view reason) {
    OnRefusedRequest(reason);
  };
  return callbacks;
}

void AdminConsole::OnRefusedRequest(std::string_view reason) {
  if (AdmitLine(Event::kConsoleRequestRefused, reason))
    WriteLog(Severity::kWarning, Event::kConsoleRequestRefused,
             {{"reason", reason}});
}

void AdminConsole::OnListenerProblem(event_loop::ListenerProblem problem,
                                     std::error_code error) {
  const std::string_view name =
      NameOf(event_loop::kListenerProblemNames, problem);
  if (AdmitLine(Event::kListenerProblem, name))
    WriteLog(Severity::kWarning, Event::kListenerProblem,
             {{"listener", "admin"},
              {"problem", name},
              {"error", error ? error.message() : "none"}});
}

bool AdminConsole::AdmitLine(Event event, std::string_view reason) {
  const base::TimePoint now = base::Clock::now();
  for (const auto& summary : m_log_limiter.CollectSummaries(now))
    WriteLog(Severity::kWarning, Event::kEventsSuppressed,
             {{"of", NameOf(observability::kEventNames, summary.m_event)},
              {"reason", summary.m_key},
              {"count", summary.m_suppressed}});
  return m_log_limiter.Admit(event, reason, now);
}

}  // namespace service
