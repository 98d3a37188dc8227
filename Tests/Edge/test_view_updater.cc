#include <doctest/doctest.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <string>

#include <asio.hpp>

#include "LibEdge/edge_settings.h"
#include "LibEventLoop/http_text_server.h"
#include "LibObservability/non_blocking_log.h"
#include "LibSteering/steering.h"
#include "edge_metrics.h"
#include "view_updater.h"

namespace {

using std::chrono::milliseconds;

constexpr base::Ipv4Address kLoopback(0x7F000001);

// A store that answers the first call for each collection with a list, and the
// later ones with changes.
class Store {
 public:
  explicit Store(asio::io_context& context)
      : m_server(event_loop::HttpTextServer::Create(
                     context,
                     {kLoopback, 0},
                     [this](std::string_view path) { return Respond(path); })
                     .value()) {}

  base::Endpoint endpoint() const { return m_server->endpoint(); }
  int UnreadableAnswers() const { return m_unreadable_answers; }
  void SetManifestVersion(int version) {
    m_manifest_version = version;
    ++m_revision;
  }
  void MakeServersUnreadable() { m_are_servers_unreadable = true; }

 private:
  event_loop::TextResponse Respond(std::string_view path) {
    if (path.ends_with("/servers")) {
      if (m_are_servers_unreadable) {
        ++m_unreadable_answers;
        return {200, "{"};
      }
      return Wrap(
          "i-00000000a1",
          R"({"backend":"portal","address":"127.0.0.1:9","zone":"hall-0",)"
          R"("version":"v1","max_concurrency":3,"state":"ready",)"
          R"("warmup_left_ms":0,"seq":1,"born":1})",
          m_server_calls);
    }
    return Wrap("main",
                fmt::format(R"({{"version":{},"routes":[],"services":[],)"
                            R"("limits":{{"idle_timeout_ms":15000}}}})",
                            m_manifest_version),
                m_manifest_calls);
  }
  event_loop::TextResponse Wrap(const std::string& name,
                                const std::string& spec,
                                int& calls) const {
    const std::string object =
        fmt::format(R"({{"meta":{{"name":"{}","revision":{},"created":1,)"
                    R"("finalizers":[],"deleting":false}},"spec":{},)"
                    R"("status":null}})",
                    name, m_revision, spec);
    const bool is_list = calls++ == 0;
    return {200, is_list
                     ? fmt::format(R"({{"items":[{}],"more":false,)"
                                   R"("store_revision":{}}})",
                                   object, m_revision)
                     : fmt::format(R"({{"events":[{{"deleted":false,)"
                                   R"("object":{}}}],"store_revision":{}}})",
                                   object, m_revision)};
  }

  int m_revision = 5;
  int m_manifest_version = 1;
  int m_server_calls = 0;
  int m_manifest_calls = 0;
  int m_unreadable_answers = 0;
  bool m_are_servers_unreadable = false;
  std::unique_ptr<event_loop::HttpTextServer> m_server;
};

edge::EdgeSettings MakeSettings(base::Endpoint store) {
  edge::EdgeSettings settings;
  settings.m_vm = "edge-0";
  settings.m_data_centre = base::DataCentreId("hall-0");
  settings.m_feed = base::Endpoint{kLoopback, 0};
  // No balancer runs there.
  settings.m_seeds = {{base::Ipv4Address(kLoopback.value() + 1), 9}};
  settings.m_store = store;
  return settings;
}

}  // namespace

TEST_CASE(
    "a manifest comes into force within its bound while the servers cannot be "
    "read") {
  asio::io_context context;
  Store store(context);
  const edge::EdgeSettings settings = MakeSettings(store.endpoint());
  steering::Steering steering({settings.m_data_centre}, 1, base::Clock::now());
  const int output = ::open("/dev/null", O_WRONLY);
  observability::NonBlockingLog log(output, 1000);
  edge::EdgeMetrics metrics;
  edge::ViewUpdater view(context, settings, steering, log, metrics, [] {});
  REQUIRE(view.Listen(settings.m_feed));
  view.Start();
  const auto run_until = [&](const std::function<bool()>& condition,
                             base::Duration limit) {
    const base::TimePoint end = base::Clock::now() + limit;
    while (!condition() && base::Clock::now() < end) {
      context.run_for(milliseconds(20));
      view.Sweep(base::Clock::now());
    }
    return condition();
  };
  const auto version = [&] { return steering.routes().Version().value(); };
  REQUIRE(run_until([&] { return steering.IsReady() && version() == 1; },
                    std::chrono::seconds(5)));

  store.MakeServersUnreadable();
  REQUIRE(run_until([&] { return store.UnreadableAnswers() > 0; },
                    std::chrono::seconds(10)));
  store.SetManifestVersion(2);

  CHECK(run_until([&] { return version() == 2; },
                  settings.m_configuration_bound));
  ::close(output);
}
