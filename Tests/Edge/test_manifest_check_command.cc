// The check of a manifest before it is sent: its exit codes, its result in both
// formats, and the comparison with the manifest that a balancer has in force.

#include <doctest/doctest.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "LibBase/random.h"
#include "LibCatalog/snapshot.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibEventLoop/http_text_server.h"
#include "Services/captured_streams.h"
#include "Services/temporary_file.h"
#include "manifest_check_command.h"

namespace edge {

namespace {

constexpr const char* kFile = "checked-manifest.json";

std::string ManifestText(int version,
                         const std::string& port,
                         const std::string& fields = "") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"feed","host":"198.18.0.1","prefix":"/)" + port +
         R"(/","route_type":"download","timeout_ms":1500,"backend":"portal")" +
         fields + "}]}";
}

ExitCode Check(const std::string& text, ManifestCheckOptions options = {}) {
  const TemporaryFile file(kFile, text);
  options.m_path = file.path();
  return CheckManifest(options);
}

// A balancer's control endpoint that responds with `status` and `body`.
class ControlEndpoint {
 public:
  ControlEndpoint(std::uint16_t status, const std::string& body)
      : m_server(event_loop::HttpTextServer::Create(
                     m_context,
                     {base::Ipv4Address(0x7F000001), 0},
                     [status, body](std::string_view path) {
                       const bool is_known = path == "/snapshot";
                       return event_loop::TextResponse{
                           is_known ? status : std::uint16_t{404}, body};
                     })
                     .value()),
        m_endpoint(m_server->endpoint()),
        m_thread([this] { m_context.run(); }) {}
  ~ControlEndpoint() {
    m_context.stop();
    m_thread.join();
  }
  ControlEndpoint(const ControlEndpoint&) = delete;
  ControlEndpoint& operator=(const ControlEndpoint&) = delete;

  base::Endpoint endpoint() const { return m_endpoint; }

 private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_context.get_executor()};
  std::unique_ptr<event_loop::HttpTextServer> m_server;
  base::Endpoint m_endpoint;
  std::thread m_thread;
};

}  // namespace

TEST_CASE("the exit code of a check tells errors, warnings and neither apart") {
  const CapturedStreams streams;
  CHECK(Check(ManifestText(7, "8443")) == ExitCode::kDone);
  CHECK(Check(ManifestText(7, "8443", R"(,"priority":-1)")) ==
        ExitCode::kWarnings);
  CHECK(Check(ManifestText(7, "0")) == ExitCode::kErrors);
  CHECK(Check("{") == ExitCode::kErrors);
  ManifestCheckOptions options;
  // The command was terminated by SIGABRT for a directory.
  for (const std::string path : {"absent.json", "/"}) {
    options.m_path = path;
    CHECK(CheckManifest(options) == ExitCode::kUsage);
  }
  CHECK(streams.Errors().find("checked-manifest.json: warning: manifest, route "
                              "feed: priority is -1: default_used\n") !=
        std::string::npos);
}

TEST_CASE("no file of 2 MB makes the check fail or print unreadable bytes") {
  constexpr std::size_t kBytes = 2'000'000;
  base::Random random(3);
  std::string bytes(kBytes, ' ');
  for (char& byte : bytes)
    byte = static_cast<char>(random.Below(256));
  std::string routes = ManifestText(7, "8443");
  routes.resize(routes.size() - 2);
  while (routes.size() < kBytes)
    routes += R"(,{"name":"\u001b\u0007","host":1})";
  for (const std::string& text :
       {bytes, routes + "]}", std::string(kBytes, '['),
        ManifestText(7, "8443", ",\"note\":\"\xff\xfe\"")}) {
    for (const ReportFormat format :
         {ReportFormat::kText, ReportFormat::kJson}) {
      const CapturedStreams streams;
      CHECK(Check(text, {.m_format = format}) == ExitCode::kErrors);
      const std::string printed = streams.Output() + streams.Errors();
      CHECK(printed.find('\x1b') == std::string::npos);
      CHECK(printed.find('\xff') == std::string::npos);
      CHECK(printed.size() < kBytes / 10);
    }
  }
}

TEST_CASE("a manifest is compared with the one that a balancer has in force") {
  const std::string text = ManifestText(9, "8444", R"(,"priority":1)");
  catalog::Snapshot snapshot;
  snapshot.m_manifest =
      *adapter::CheckManifest(ManifestText(8, "8443")).m_manifest;
  const ControlEndpoint balancer(200,
                                 catalog::EncodeSnapshot(snapshot).value());
  const CapturedStreams streams;

  CHECK(Check(text, {.m_running = balancer.endpoint(),
                     .m_format = ReportFormat::kJson}) == ExitCode::kWarnings);
  CHECK(streams.Output() ==
        R"({"version":9,"routes":1,"problems":[{"severity":"warning",)"
        R"("kind":"drain_first","text":"route feed: 198.18.0.1:8443 is no )"
        "longer served: new requests on its open flows are reset "
        R"x((drain_first)"}],"changes":["route feed: address: )x"
        R"(198.18.0.1:8443 -> 198.18.0.1:8444","route feed: priority: none )"
        "-> 1\"]}\n");

  const ControlEndpoint starting(503, "nothing known\n");
  CHECK(Check(text, {.m_running = starting.endpoint()}) ==
        ExitCode::kUnreachable);
}

}  // namespace edge
