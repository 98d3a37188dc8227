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

Response Ask(FakeBalancer& backend, const Request& request) {
  Console console(backend.MakeCallbacks(), kFakeToken);
  Response answer;
  console.Handle(request,
                 [&answer](const Response& response) { answer = response; });
  return answer;
}

Response Get(FakeBalancer& backend, std::string path, std::string query = "") {
  Request request;
  request.m_path = std::move(path);
  request.m_query = std::move(query);
  return Ask(backend, request);
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

Response Post(FakeBalancer& backend,
              std::string path,
              const FormFields& fields) {
  return Ask(backend, PostRequest(std::move(path), fields));
}

// The fields of a session in which one server drains.
FormFields ChangedFields(const FakeBalancer& backend) {
  FormFields fields =
      console::FieldsOf(console::StartDraft(backend.m_in_force));
  for (auto& field : fields) {
    if (field.m_name == "services[0].backend_servers[0].state")
      field.m_value = "draining";
  }
  fields.push_back({"token", kFakeToken});
  return fields;
}

bool Has(const Response& response, std::string_view text) {
  return response.m_body.find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("pages for machines and people are served") {
  FakeBalancer backend;

  CHECK(Get(backend, "/ready").m_status == Status::kOk);
  CHECK(Get(backend, "/status").m_body == "{}\n");
  CHECK(Get(backend, "/metrics").m_body == "up 1\n");
  CHECK(Get(backend, "/report", "format=text").m_body ==
        "1 of <2>\nburn <1>\n");
  CHECK(Has(Get(backend, "/report"), "notice warning\">1 of &lt;2&gt;"));
  CHECK(Has(Get(backend, "/report"), "burn &lt;1&gt;"));
  CHECK(Has(Get(backend, "/report"), "<svg></svg>"));
  CHECK(Has(Get(backend, "/"), "Data centre uppsala"));
  CHECK(std::get<configuration::Document>(
            configuration::ReadDocument(Get(backend, "/document").m_body)) ==
        backend.m_in_force.m_document);
  CHECK(Has(Get(backend, "/edit"), "services[1].backend_servers[0].name"));
  CHECK(Get(backend, "/style.css").m_content_type == "text/css; charset=utf-8");
  CHECK(Get(backend, "/absent").m_status == Status::kNotFound);
  backend.m_is_ready = false;
  CHECK(Get(backend, "/ready").m_status == Status::kUnavailable);
}

TEST_CASE("a session shows its difference and submits one whole document") {
  FakeBalancer backend;
  auto fields = ChangedFields(backend);
  fields.push_back({"action", "review"});

  const auto review = Post(backend, "/edit", fields);
  const auto accepted = Post(backend, "/submit", fields);

  CHECK(review.m_status == Status::kOk);
  CHECK(Has(review, "backend server tap-1: state: active -&gt; draining"));
  CHECK(accepted.m_status == Status::kOk);
  CHECK(Has(accepted, "accepted as version 13"));
  REQUIRE(backend.m_submitted.size() == 1);
  auto expected = configuration::MakeDocument();
  expected.m_services[0].m_backend_servers[0].m_state =
      configuration::BackendServerState::kDraining;
  CHECK(backend.m_submitted[0] == expected);
}

TEST_CASE("a malformed document returns to the editor with every error") {
  FakeBalancer backend;
  auto fields = ChangedFields(backend);
  for (auto& field : fields) {
    if (field.m_name.ends_with("slots"))
      field.m_value = "<many>";
  }

  const auto refused = Post(backend, "/submit", fields);

  CHECK(refused.m_status == Status::kUnprocessable);
  CHECK(Has(refused,
            "<a href=\"#services[0].backend_servers[0].slots\">service "
            "licence, backend server tap-1, slots</a>"));
  CHECK(Has(refused,
            "<a href=\"#services[1].backend_servers[0].slots\">service "
            "dossier, backend server file-1, slots</a>"));
  CHECK(Has(refused, "id=\"services[1].backend_servers[0].slots\""));
  CHECK(Has(refused, "value=\"&lt;many&gt;\""));
  CHECK_FALSE(Has(refused, "<many>"));
  CHECK(backend.m_submitted.empty());
}

TEST_CASE("a change without the right token or from another site is refused") {
  FakeBalancer backend;
  auto fields = ChangedFields(backend);
  fields.back().m_value = "correct-horsf";
  Request foreign = PostRequest("/submit", ChangedFields(backend));
  foreign.m_host = "127.0.0.1:8080";
  foreign.m_origin = "http://evil.example";

  CHECK(Post(backend, "/submit", fields).m_status == Status::kForbidden);
  fields.pop_back();
  CHECK(Post(backend, "/submit", fields).m_status == Status::kForbidden);
  CHECK(Ask(backend, foreign).m_status == Status::kForbidden);
  CHECK(backend.m_submitted.empty());
  CHECK(backend.m_refusals.size() == 3);
  foreign.m_origin = "http://127.0.0.1:8080";
  CHECK(Ask(backend, foreign).m_status == Status::kOk);
}

TEST_CASE("a conflict shows what the other operator changed") {
  FakeBalancer backend;
  const auto fields = ChangedFields(backend);
  auto other = backend.m_in_force;
  other.m_version = base::ConfigurationVersion(14);
  other.m_document.m_services[1].m_backend_servers[0].m_slots = 9;
  backend.m_outcome = console::SubmitConflict{other};

  const auto at_platform = Post(backend, "/submit", fields);
  backend.m_in_force = other;
  const auto at_balancer = Post(backend, "/submit", fields);

  CHECK(backend.m_submitted.size() == 1);
  for (const auto& conflict : {at_platform, at_balancer}) {
    CHECK(conflict.m_status == Status::kConflict);
    CHECK(Has(conflict, "backend server file-1: slots: 3 -&gt; 9"));
    CHECK(Has(conflict, "name=\"base_version\" value=\"14\""));
  }
}

TEST_CASE("an unknown outcome links to where it is settled") {
  FakeBalancer backend;
  backend.m_outcome = console::SubmitUnknown{"s-1"};

  const auto unknown = Post(backend, "/submit", ChangedFields(backend));
  CHECK(unknown.m_status == Status::kUnavailable);
  CHECK(Has(unknown, "/submission?id=s-1&amp;base=12"));

  const auto page = [&] {
    return Get(backend, "/submission", "id=s-1&base=12").m_body;
  };
  CHECK(page().find("Load this page again") != std::string::npos);
  backend.m_in_force.m_version = base::ConfigurationVersion(20);
  backend.m_in_force.m_document.m_submission = {"s-2",
                                                base::ConfigurationVersion(13)};
  CHECK(page().find("no longer tells") != std::string::npos);
  auto& previous = backend.m_in_force.m_document.m_previous_submissions;
  previous = {{"s-3", base::ConfigurationVersion(12)}};
  CHECK(page().find("never will") != std::string::npos);
  previous = {{"s-1", base::ConfigurationVersion(12)}};
  CHECK(page().find("took effect") != std::string::npos);
}

TEST_CASE("a token matches only itself") {
  CHECK(console::TokensMatch("secret-1", "secret-1"));
  for (const char* given : {"", "secret", "secret-2", "secret-1secret-1"})
    CHECK_FALSE(console::TokensMatch("secret-1", given));
  CHECK_FALSE(console::TokensMatch("", ""));
}
