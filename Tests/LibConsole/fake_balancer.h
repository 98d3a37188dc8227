// A fake of the balancer process that the console runs in, for the tests of the
// console.

#ifndef TESTS_LIBCONSOLE_FAKE_BALANCER_H_
#define TESTS_LIBCONSOLE_FAKE_BALANCER_H_

#include <string>
#include <vector>

#include "LibConfiguration/example_document.h"
#include "LibConsole/console_callbacks.h"

namespace console {

struct FakeBalancer {
  bool m_is_ready = true;
  DocumentInForce m_in_force{base::ConfigurationVersion(12),
                             configuration::MakeDocument()};
  SubmitOutcome m_outcome = SubmitAccepted{base::ConfigurationVersion(13)};
  std::vector<configuration::Document> m_submitted;
  std::vector<std::string> m_refusals;

  // The fake must outlive the returned callbacks.
  ConsoleCallbacks MakeCallbacks() {
    ConsoleCallbacks callbacks;
    callbacks.m_is_ready = [this] { return m_is_ready; };
    callbacks.m_status = [] { return std::string("{}"); };
    callbacks.m_metrics = [] { return std::string("up 1\n"); };
    callbacks.m_report = [](const ConsoleCallbacks::ReportCallback& callback) {
      callback({.m_coverage = "1 of <2>",
                .m_is_complete = false,
                .m_text = "burn <1>\n",
                .m_chart = "<svg></svg>"});
    };
    callbacks.m_document_in_force = [this] { return m_in_force; };
    callbacks.m_submit = [this](
                             base::ConfigurationVersion,
                             const configuration::Document& document,
                             const ConsoleCallbacks::SubmitCallback& callback) {
      m_submitted.push_back(document);
      callback(m_outcome);
    };
    callbacks.m_on_request_refused = [this](std::string_view reason) {
      m_refusals.emplace_back(reason);
    };
    return callbacks;
  }
};

inline constexpr const char* kFakeToken = "correct-horse";

}  // namespace console

#endif  // TESTS_LIBCONSOLE_FAKE_BALANCER_H_
