#include "LibConsole/console.h"

#include <charconv>
#include <utility>
#include <variant>

#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/document_writer.h"
#include "LibConsole/draft_action.h"
#include "LibConsole/editor_page.h"
#include "LibConsole/overview_page.h"
#include "LibConsole/page.h"
#include "LibConsole/submission_pages.h"

namespace console {

namespace {

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kYamlType = "text/plain; charset=utf-8";
constexpr std::string_view kMetricsType = "text/plain; version=0.0.4";
constexpr std::string_view kStyleType = "text/css; charset=utf-8";

Response TextResponse(Status status, std::string_view text) {
  return {status, std::string(kTextType), std::string(text) + "\n"};
}

Response HtmlResponse(std::string body, Status status = Status::kOk) {
  return {status, std::string(kHtmlType), std::move(body)};
}

Status StatusOf(const SubmitOutcome& outcome) {
  if (std::holds_alternative<SubmitAccepted>(outcome))
    return Status::kOk;
  if (std::holds_alternative<SubmitConflict>(outcome))
    return Status::kConflict;
  if (std::holds_alternative<SubmitRefused>(outcome))
    return Status::kUnprocessable;
  return Status::kUnavailable;
}

using ValidationResult =
    configuration::ValueOrProblems<configuration::CheckedDocument>;

ValidationResult Validate(const Draft& draft, const DocumentInForce& current) {
  return configuration::ReadReplacement(draft.m_root, current.m_document);
}

}  // namespace

Console::Console(ConsoleCallbacks callbacks, std::string operator_token)
    : m_callbacks(std::move(callbacks)),
      m_operator_token(std::move(operator_token)) {}

void Console::Handle(const Request& request, const ResponseCallback& respond) {
  switch (request.m_method) {
    case Method::kGet:
      if (request.m_path == "/report")
        GetReport(request, respond);
      else
        respond(Get(request));
      return;
    case Method::kPost:
      Post(request, respond);
      return;
    case Method::kOther:
      respond(TextResponse(Status::kMethodNotAllowed, "method not allowed"));
      return;
  }
}

Response Console::Get(const Request& request) const {
  const std::string& path = request.m_path;
  if (path == "/ready")
    return GetReady();
  if (path == "/status")
    return {Status::kOk, std::string(kJsonType), m_callbacks.m_status() + "\n"};
  if (path == "/metrics")
    return {Status::kOk, std::string(kMetricsType), m_callbacks.m_metrics()};
  if (path == "/document")
    return {Status::kOk, std::string(kYamlType),
            configuration::WriteDocument(
                m_callbacks.m_document_in_force().m_document)};
  if (path == "/")
    return HtmlResponse(RenderOverview(m_callbacks.m_document_in_force()));
  if (path == "/edit")
    return HtmlResponse(
        RenderEditor(StartDraft(m_callbacks.m_document_in_force()), {}));
  if (path == "/submission")
    return GetSubmission(request);
  if (path == kStylePath)
    return {Status::kOk, std::string(kStyleType), std::string(StyleSheet())};
  return TextResponse(Status::kNotFound, "not found");
}

Response Console::GetReady() const {
  if (m_callbacks.m_is_ready())
    return TextResponse(Status::kOk, "ready");
  return TextResponse(Status::kUnavailable, "not ready");
}

void Console::GetReport(const Request& request,
                        const ResponseCallback& respond) const {
  const bool is_text = request.m_query == "format=text";
  m_callbacks.m_report([is_text, respond](const RenderedBurnReport& report) {
    if (is_text)
      respond({Status::kOk, std::string(kTextType),
               report.m_coverage + "\n" + report.m_text});
    else
      respond(HtmlResponse(RenderReport(report)));
  });
}

Response Console::GetSubmission(const Request& request) const {
  const auto fields = ParseForm(request.m_query);
  if (!fields)
    return TextResponse(Status::kBadRequest, "malformed query");
  const std::string base_text = FieldValue(*fields, "base");
  std::uint64_t base = 0;
  const char* end = base_text.data() + base_text.size();
  const auto result = std::from_chars(base_text.data(), end, base);
  if (result.ec != std::errc() || result.ptr != end)
    return TextResponse(Status::kBadRequest, "malformed version");
  return HtmlResponse(RenderSubmission(FieldValue(*fields, "id"),
                                       base::ConfigurationVersion(base),
                                       m_callbacks.m_document_in_force()));
}

void Console::Post(const Request& request, const ResponseCallback& respond) {
  const bool is_edit = request.m_path == "/edit";
  if (!is_edit && request.m_path != "/submit") {
    respond(TextResponse(Status::kNotFound, "not found"));
    return;
  }
  if (IsCrossSite(request)) {
    respond(RefuseRequest(Status::kForbidden, "request from another site"));
    return;
  }
  const auto fields = ParseForm(request.m_body);
  const auto draft = fields ? DraftFromFields(*fields) : std::nullopt;
  if (!draft) {
    respond(RefuseRequest(Status::kBadRequest, "malformed form"));
    return;
  }
  if (is_edit)
    respond(PostEdit(*draft, *fields));
  else
    Submit(*draft, FieldValue(*fields, kTokenField), respond);
}

Response Console::PostEdit(const Draft& draft, const FormFields& fields) const {
  const DraftAction action = ParseAction(FieldValue(fields, kActionField));
  if (std::holds_alternative<ShowReview>(action))
    return Review(draft);
  Draft changed = draft;
  Apply(action, changed);
  return HtmlResponse(RenderEditor(changed, {}));
}

Response Console::Review(const Draft& draft) const {
  const DocumentInForce current = m_callbacks.m_document_in_force();
  if (current.m_version != draft.m_base_version)
    return HtmlResponse(RenderConflict(draft, current), Status::kConflict);
  const ValidationResult validation = Validate(draft, current);
  if (const auto* problems = std::get_if<configuration::Problems>(&validation))
    return HtmlResponse(RenderEditor(draft, *problems), Status::kUnprocessable);
  const auto& document = std::get<configuration::CheckedDocument>(validation);
  return HtmlResponse(RenderReview(draft, current.m_document, document, ""));
}

void Console::Submit(const Draft& draft,
                     std::string_view token,
                     const ResponseCallback& respond) {
  const DocumentInForce current = m_callbacks.m_document_in_force();
  if (current.m_version != draft.m_base_version) {
    respond(HtmlResponse(RenderConflict(draft, current), Status::kConflict));
    return;
  }
  const ValidationResult validation = Validate(draft, current);
  if (const auto* problems =
          std::get_if<configuration::Problems>(&validation)) {
    respond(
        HtmlResponse(RenderEditor(draft, *problems), Status::kUnprocessable));
    return;
  }
  auto document = std::get<configuration::CheckedDocument>(validation);
  if (!TokensMatch(m_operator_token, token)) {
    m_callbacks.m_on_request_refused("wrong operator token");
    respond(HtmlResponse(RenderReview(draft, current.m_document, document,
                                      "The operator token is wrong."),
                         Status::kForbidden));
    return;
  }
  document.m_document.m_submission = current.m_document.m_submission;
  document.m_document.m_previous_submissions =
      current.m_document.m_previous_submissions;
  m_callbacks.m_submit(
      draft.m_base_version, document.m_document,
      [draft, respond](const SubmitOutcome& outcome) {
        respond(HtmlResponse(RenderOutcome(draft, outcome), StatusOf(outcome)));
      });
}

Response Console::RefuseRequest(Status status, std::string_view reason) {
  m_callbacks.m_on_request_refused(reason);
  return TextResponse(status, reason);
}

bool IsCrossSite(const Request& request) {
  if (!request.m_origin)
    return false;
  return *request.m_origin != "http://" + request.m_host &&
         *request.m_origin != "https://" + request.m_host;
}

bool TokensMatch(std::string_view expected, std::string_view given) {
  if (expected.empty())
    return false;
  unsigned int difference = expected.size() == given.size() ? 0 : 1;
  for (std::size_t index = 0; index < given.size(); ++index) {
    const char expected_character = expected[index % expected.size()];
    difference |= static_cast<unsigned char>(expected_character) ^
                  static_cast<unsigned char>(given[index]);
  }
  return difference == 0;
}

}  // namespace console
