#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>

#include "LibConfiguration/document_reader.h"
#include "LibConsole/console.h"
#include "LibConsole/fake_balancer.h"
#include "LibHttp/request.h"

using console::Console;
using console::FakeBalancer;
using console::FormFields;
using console::kFakeToken;
using console::Request;
using console::Response;
using console::Status;

namespace {

Response HandleRequest(FakeBalancer& balancer, const Request& request) {
  Console console(balancer.MakeCallbacks(), kFakeToken);
  Response result;
  console.Handle(request,
                 [&result](const Response& response) { result = response; });
  return result;
}

Response Get(FakeBalancer& balancer, std::string path, std::string query = "") {
  Request request;
  request.m_path = std::move(path);
  request.m_query = std::move(query);
  return HandleRequest(balancer, request);
}

Request PostRequest(std::string path, const FormFields& fields) {
  Request request;
  request.m_method = console::Method::kPost;
  request.m_path = std::move(path);
  for (const auto& field : fields)
    request.m_body += http::PercentEncode(field.m_name) + "=" +
                      http::PercentEncode(field.m_value) + "&";
  return request;
}

Response Post(FakeBalancer& balancer,
              std::string path,
              const FormFields& fields) {
  return HandleRequest(balancer, PostRequest(std::move(path), fields));
}

// The fields of a form in which the operator set one server to draining, with
// the operator token.
FormFields ChangedFields(const FakeBalancer& balancer) {
  FormFields fields =
      console::FieldsOf(console::StartDraft(balancer.m_in_force));
  for (auto& field : fields) {
    if (field.m_name == "services[0].backend_servers[0].state")
      field.m_value = "draining";
  }
  fields.push_back({"token", kFakeToken});
  return fields;
}

bool Contains(const Response& response, std::string_view text) {
  return response.m_body.find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("the pages and the endpoints for programs are served") {
  FakeBalancer balancer;

  CHECK(Get(balancer, "/ready").m_status == Status::kOk);
  CHECK(Get(balancer, "/status").m_body == "{}\n");
  CHECK(Get(balancer, "/metrics").m_body == "up 1\n");
  CHECK(Get(balancer, "/report", "format=text").m_body ==
        "1 of <2>\nburn <1>\n");
  CHECK(Contains(Get(balancer, "/report"), "notice warning\">1 of &lt;2&gt;"));
  CHECK(Contains(Get(balancer, "/report"), "burn &lt;1&gt;"));
  CHECK(Contains(Get(balancer, "/report"), "<svg></svg>"));
  CHECK(Contains(Get(balancer, "/"), "Data centre uppsala"));
  CHECK(std::get<configuration::Document>(
            configuration::ReadDocument(Get(balancer, "/document").m_body)) ==
        balancer.m_in_force.m_document);
  CHECK(
      Contains(Get(balancer, "/edit"), "services[1].backend_servers[0].name"));
  CHECK(Get(balancer, "/style.css").m_content_type ==
        "text/css; charset=utf-8");
  CHECK(Get(balancer, "/absent").m_status == Status::kNotFound);
  balancer.m_is_ready = false;
  CHECK(Get(balancer, "/ready").m_status == Status::kUnavailable);
}

TEST_CASE(
    "the review shows the changes and the submission sends the whole "
    "document") {
  FakeBalancer balancer;
  auto fields = ChangedFields(balancer);
  fields.push_back({"action", "review"});

  const auto review = Post(balancer, "/edit", fields);
  const auto accepted = Post(balancer, "/submit", fields);

  CHECK(review.m_status == Status::kOk);
  CHECK(Contains(review, "backend server tap-1: state: active -&gt; draining"));
  CHECK(accepted.m_status == Status::kOk);
  CHECK(Contains(accepted, "accepted as version 13"));
  REQUIRE(balancer.m_submitted.size() == 1);
  auto expected = configuration::MakeDocument();
  expected.m_services[0].m_backend_servers[0].m_state =
      configuration::BackendServerState::kDraining;
  CHECK(balancer.m_submitted[0] == expected);
}

TEST_CASE("an invalid document is shown in the editor with every problem") {
  FakeBalancer balancer;
  auto fields = ChangedFields(balancer);
  for (auto& field : fields) {
    if (field.m_name.ends_with("slots"))
      field.m_value = "<many>";
  }

  const auto refused = Post(balancer, "/submit", fields);

  CHECK(refused.m_status == Status::kUnprocessable);
  CHECK(Contains(refused,
                 "<a href=\"#services[0].backend_servers[0].slots\">service "
                 "licence, backend server tap-1, slots</a>"));
  CHECK(Contains(refused,
                 "<a href=\"#services[1].backend_servers[0].slots\">service "
                 "dossier, backend server file-1, slots</a>"));
  CHECK(Contains(refused, "id=\"services[1].backend_servers[0].slots\""));
  CHECK(Contains(refused, "value=\"&lt;many&gt;\""));
  CHECK_FALSE(Contains(refused, "<many>"));
  CHECK(balancer.m_submitted.empty());
}

TEST_CASE("a change without the right token or from another site is refused") {
  FakeBalancer balancer;
  auto fields = ChangedFields(balancer);
  fields.back().m_value = "correct-horsf";
  Request foreign = PostRequest("/submit", ChangedFields(balancer));
  foreign.m_host = "127.0.0.1:8080";
  foreign.m_origin = "http://evil.example";

  CHECK(Post(balancer, "/submit", fields).m_status == Status::kForbidden);
  fields.pop_back();
  CHECK(Post(balancer, "/submit", fields).m_status == Status::kForbidden);
  CHECK(HandleRequest(balancer, foreign).m_status == Status::kForbidden);
  CHECK(balancer.m_submitted.empty());
  CHECK(balancer.m_refusals.size() == 3);
  foreign.m_origin = "http://127.0.0.1:8080";
  CHECK(HandleRequest(balancer, foreign).m_status == Status::kOk);
}

TEST_CASE("a conflict shows what the other operator changed") {
  FakeBalancer balancer;
  const auto fields = ChangedFields(balancer);
  auto other = balancer.m_in_force;
  other.m_version = base::ConfigurationVersion(14);
  other.m_document.m_services[1].m_backend_servers[0].m_slots = 9;
  balancer.m_outcome = console::SubmitConflict{other};

  const auto at_platform = Post(balancer, "/submit", fields);
  balancer.m_in_force = other;
  const auto at_balancer = Post(balancer, "/submit", fields);

  CHECK(balancer.m_submitted.size() == 1);
  for (const auto& conflict : {at_platform, at_balancer}) {
    CHECK(conflict.m_status == Status::kConflict);
    CHECK(Contains(conflict, "backend server file-1: slots: 3 -&gt; 9"));
    CHECK(Contains(conflict, "name=\"base_version\" value=\"14\""));
  }
}

TEST_CASE(
    "an unknown outcome links to the page that shows the state of a "
    "submission") {
  FakeBalancer balancer;
  balancer.m_outcome = console::SubmitUnknown{"s-1"};

  const auto unknown = Post(balancer, "/submit", ChangedFields(balancer));
  CHECK(unknown.m_status == Status::kUnavailable);
  CHECK(Contains(unknown, "/submission?id=s-1&amp;base=12"));

  const auto page = [&] {
    return Get(balancer, "/submission", "id=s-1&base=12").m_body;
  };
  CHECK(page().find("Load this page again") != std::string::npos);
  balancer.m_in_force.m_version = base::ConfigurationVersion(20);
  balancer.m_in_force.m_document.m_submission = {
      "s-2", base::ConfigurationVersion(13)};
  CHECK(page().find("no longer records") != std::string::npos);
  auto& previous = balancer.m_in_force.m_document.m_previous_submissions;
  previous = {{"s-3", base::ConfigurationVersion(12)}};
  CHECK(page().find("will never take effect") != std::string::npos);
  previous = {{"s-1", base::ConfigurationVersion(12)}};
  CHECK(page().find("took effect") != std::string::npos);
}

TEST_CASE("a token matches only the same token, and an empty one never") {
  CHECK(console::TokensMatch("secret-1", "secret-1"));
  for (const char* given : {"", "secret", "secret-2", "secret-1secret-1"})
    CHECK_FALSE(console::TokensMatch("secret-1", given));
  CHECK_FALSE(console::TokensMatch("", ""));
}
