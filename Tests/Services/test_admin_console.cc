#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "LibConfiguration/example_document.h"
#include "LibConsole/draft.h"
#include "LibHttp/client.h"
#include "admin_console.h"
#include "platform_control.h"

using service::AdminConsole;

namespace {

constexpr std::chrono::seconds kDeadline{10};
constexpr const char* kToken = "correct-horse";

// An admin console without a balancer. It submits to the platform stand-in.
class Fixture {
 public:
  Fixture() : m_client(m_context, m_platform.endpoint()) {
    configuration::Settings settings;
    settings.m_admin = *base::ParseEndpoint("127.0.0.1:0");
    settings.m_operator_token = kToken;
    AdminConsole::Sources sources;
    sources.m_status = [] { return service::StatusView{.m_name = "b\"1"}; };
    sources.m_metrics = [] { return std::string(); };
    sources.m_report =
        [](const console::ConsoleCallbacks::ReportCallback& callback) {
          callback({});
        };
    sources.m_document_in_force = [this] { return m_in_force; };
    auto created = AdminConsole::Create(m_context, settings, m_client, sources);
    REQUIRE(created);
    m_console = std::move(created).value();
  }

  integration::PlatformControl& platform() { return m_platform; }

  http::Response Get(const std::string& path) {
    return SendRequest({.m_path = path});
  }

  // Submits the example document with the version in force as its base.
  http::Response Submit() {
    console::DocumentInForce wanted = m_in_force;
    wanted.m_document = configuration::MakeDocument();
    http::Request request{.m_method = http::Method::kPost, .m_path = "/submit"};
    auto draft = console::StartDraft(m_in_force);
    draft.m_root = console::StartDraft(wanted).m_root;
    auto fields = FieldsOf(draft);
    fields.push_back({"token", kToken});
    for (const auto& field : fields)
      request.m_body += http::PercentEncode(field.m_name) + "=" +
                        http::PercentEncode(field.m_value) + "&";
    return SendRequest(std::move(request));
  }

 private:
  http::Response SendRequest(http::Request request) {
    request.m_endpoint = m_console->endpoint();
    request.m_timeout = kDeadline;
    http::Client client(m_context);
    std::optional<base::Outcome<http::Response>> result;
    client.Send(request, [&](auto outcome) { result = std::move(outcome); });
    const auto end = std::chrono::steady_clock::now() + kDeadline;
    while (!result && std::chrono::steady_clock::now() < end) {
      m_context.restart();
      m_context.run_one_for(kDeadline);
    }
    REQUIRE(result);
    REQUIRE(*result);
    return std::move(*result).value();
  }

  integration::PlatformControl m_platform;
  asio::io_context m_context;
  platform::PlatformClient m_client;
  console::DocumentInForce m_in_force;
  std::unique_ptr<AdminConsole> m_console;
};

}  // namespace

TEST_CASE("the console submits a document to the platform") {
  Fixture fixture;

  CHECK(fixture.Submit().m_status == 200);
  CHECK(fixture.platform().DocumentVersion() > 0);
}

TEST_CASE("the second submission based on the same version is a conflict") {
  Fixture fixture;

  CHECK(fixture.Submit().m_status == 200);
  const auto version = fixture.platform().DocumentVersion();
  const auto second = fixture.Submit();

  CHECK(second.m_status == 409);
  CHECK(second.m_body.find("service licence: added") != std::string::npos);
  CHECK(fixture.platform().DocumentVersion() == version);
}

TEST_CASE("a console submission is accepted once if its response is lost") {
  Fixture fixture;
  fixture.platform().Post("lose-answers?count=1");

  CHECK(fixture.Submit().m_status == 200);
}

TEST_CASE("the status page is JSON and reports a balancer that is not ready") {
  Fixture fixture;

  CHECK(fixture.Get("/ready").m_status == 503);
  CHECK(fixture.Get("/status").m_body ==
        "{\"name\":\"b\\\"1\",\"data_centre\":\"\",\"id\":\"0000000000000000\","
        "\"phase\":\"\",\"ready\":false,\"version\":0,\"submission\":\"\","
        "\"traffic\":\"0.0.0.0:0\",\"peer\":\"0.0.0.0:0\",\"peers\":[]}\n");
}
