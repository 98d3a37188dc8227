// Runs all stand-ins in one event loop, over real sockets.

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <rapidjson/document.h>

#include "StandIns/backend_server.h"
#include "StandIns/caller.h"
#include "StandIns/event_loop.h"
#include "StandIns/fabric.h"
#include "StandIns/fault_plan.h"
#include "StandIns/udp_port.h"
#include "StandIns/udp_proxy.h"

using namespace std::chrono_literals;
using stand_ins::BackendServer;
using stand_ins::BackendServerOptions;
using stand_ins::Caller;
using stand_ins::CallerOptions;
using stand_ins::EventLoop;
using stand_ins::JsonLine;
using stand_ins::LineCommands;
using stand_ins::RequestKind;

namespace {

constexpr auto kTimeout = 30s;

rapidjson::Document Parse(const JsonLine& line) {
  rapidjson::Document document;
  document.Parse(line.Text().c_str());
  return document;
}

std::uint64_t Number(const JsonLine& line, const char* name) {
  return Parse(line)[name].GetUint64();
}

// Counts how often each id occurs in the line's array "ids".
std::map<std::uint64_t, int> CountIds(const JsonLine& line) {
  std::map<std::uint64_t, int> counts;
  const auto document = Parse(line);
  for (const auto& id : document["ids"].GetArray())
    ++counts[id.GetUint64()];
  return counts;
}

// One backend server behind a fabric, a UDP proxy and a balancer that only
// forwards packets.
class TrafficFixture {
 public:
  TrafficFixture()
      : m_fabric(&m_loop, 1), m_plan(stand_ins::ProxyProtocol::kUdp, 1) {
    m_fabric.AddCommands(&m_fabric_commands);
    m_plan.AddCommands(&m_proxy_commands,
                       [this] { m_proxy->DeliverPending(); });
    REQUIRE(m_fabric.Open(Address("127.48.200.1")));
    OpenServer();
    OpenBalancer();
    m_proxy = std::make_unique<stand_ins::UdpProxy>(
        &m_loop, &m_plan, m_balancer->LocalEndpoint());
    REQUIRE(m_proxy->Open({Address("127.48.200.3"), 0}));
    m_fabric_commands.Execute("balancer b " +
                              base::ToString(m_proxy->LocalEndpoint()));
  }

  // Creates the caller and starts its openings.
  void StartCaller(CallerOptions options) {
    options.m_address = Address("127.32.200.1");
    options.m_fabric = Bound(m_fabric.ListeningLine(), "callers");
    options.m_service_address = m_server_options.m_service_address;
    options.m_seed = 7;
    options.m_requests.m_id_prefix = 7;
    m_caller.emplace(&m_loop, options, [](const JsonLine&) {});
    m_caller->AddCommands(&m_caller_commands);
    REQUIRE(m_caller->Open());
    m_caller->Start();
  }

  // Runs the loop until the condition holds or kTimeout has passed. Returns
  // whether the condition holds.
  bool RunUntil(const std::function<bool()>& condition) {
    const base::TimePoint limit = EventLoop::Now() + kTimeout;
    const auto timer = m_loop.Timers().SubscribeEvery(
        EventLoop::Now(), 1ms, [&](base::TimePoint now) {
          if (condition() || now >= limit)
            m_loop.Stop();
        });
    m_loop.Run();
    m_loop.Timers().Cancel(timer);
    return condition();
  }

  bool RunToFinalReport() {
    return RunUntil(
        [this] { return Parse(m_caller->ReportLine())["final"].GetBool(); });
  }

  std::uint64_t CallerCounter(const char* name) const {
    return Number(m_caller->ReportLine(), name);
  }
  std::uint64_t ServerCounter(const char* name) const {
    return Number(m_server->ReportLine(), name);
  }

  static base::Ipv4Address Address(const char* text) {
    return *base::ParseIpv4Address(text);
  }

  static base::Endpoint Bound(const JsonLine& line, const char* name) {
    return *base::ParseEndpoint(Parse(line)[name].GetString());
  }

  EventLoop m_loop;
  stand_ins::Fabric m_fabric;
  LineCommands m_fabric_commands;
  stand_ins::FaultPlan m_plan;
  LineCommands m_proxy_commands;
  std::unique_ptr<stand_ins::UdpProxy> m_proxy;
  BackendServerOptions m_server_options;
  std::optional<BackendServer> m_server;
  LineCommands m_server_commands;
  std::optional<Caller> m_caller;
  LineCommands m_caller_commands;

 private:
  void OpenServer() {
    m_server_options.m_address = Address("127.16.200.1");
    m_server_options.m_service = "service";
    m_server_options.m_service_address = {Address("127.64.200.1"), 80};
    m_server_options.m_name = "server";
    m_server_options.m_gateway = Bound(m_fabric.ListeningLine(), "servers");
    m_server_options.m_slots = 3;
    m_server_options.m_connection_limit = 2000;
    m_server_options.m_seed = 3;
    m_server.emplace(&m_loop, m_server_options);
    m_server->AddCommands(&m_server_commands);
    REQUIRE(m_server->Open());
  }

  void OpenBalancer() {
    m_balancer = stand_ins::UdpPort::Open(&m_loop.Context(),
                                          {Address("127.48.200.2"), 0})
                     .value();
    const base::Endpoint tunnel = Bound(m_server->ListeningLine(), "tunnel");
    const base::Endpoint callers = Bound(m_fabric.ListeningLine(), "balancers");
    const base::Ipv4Address server = m_server_options.m_address;
    m_balancer->StartReceiving([=, this](auto packet, base::Endpoint source) {
      const bool is_answer = source.m_address == server;
      m_balancer->Send(packet, is_answer ? callers : tunnel);
    });
  }

  std::unique_ptr<stand_ins::UdpPort> m_balancer;
};

CallerOptions MakeOptions(std::optional<RequestKind> kind) {
  CallerOptions options;
  options.m_openings_per_second = 200;
  options.m_duration = 500ms;
  options.m_deadline = 20s;
  options.m_silence = 5s;
  options.m_requests.m_kind = kind;
  options.m_requests.m_answer_bytes = 20'000;
  options.m_requests.m_feed_interval = 50ms;
  return options;
}

}  // namespace

TEST_CASE(
    "packet loss, duplicates and reordering break, lose or repeat no flow") {
  TrafficFixture traffic;
  for (const char* fault : {"loss 0.05", "duplicate 0.05", "reorder 0.05"})
    traffic.m_proxy_commands.Execute(fault);

  traffic.StartCaller(MakeOptions(std::nullopt));
  REQUIRE(traffic.RunToFinalReport());

  const std::uint64_t flows = traffic.CallerCounter("flows");
  CHECK(flows > 50);
  CHECK(traffic.CallerCounter("whole") == flows);
  CHECK(traffic.CallerCounter("wrong_bytes") == 0);
  CHECK(traffic.CallerCounter("crossed_answers") == 0);
  CHECK(traffic.CallerCounter("feed_gaps") == 0);
  CHECK(traffic.ServerCounter("executions") == flows);
  CHECK(traffic.ServerCounter("executions_repeated") == 0);
}

TEST_CASE("a refused request does not run, each other request runs once") {
  TrafficFixture traffic;
  CallerOptions options = MakeOptions(RequestKind::kDeclaration);
  options.m_retries_not_run = 2;
  traffic.StartCaller(options);
  REQUIRE(
      traffic.RunUntil([&] { return traffic.CallerCounter("whole") > 20; }));
  traffic.m_server_commands.Execute("drain");
  REQUIRE(traffic.RunToFinalReport());

  const auto refused = CountIds(traffic.m_caller->RefusedIdsLine());
  const auto executed = CountIds(traffic.m_server->ExecutionsLine());
  CHECK(!refused.empty());
  CHECK(refused.size() == traffic.CallerCounter("refused"));
  CHECK(executed.size() == traffic.CallerCounter("whole"));
  CHECK(refused.size() + executed.size() == traffic.CallerCounter("flows"));
  for (const auto& [id, times] : refused)
    CHECK_FALSE(executed.contains(id));
  for (const auto& [id, times] : executed)
    CHECK(times == 1);
  CHECK(traffic.ServerCounter("accepted_after_drain") == 0);
  CHECK(traffic.ServerCounter("refused_draining") ==
        traffic.CallerCounter("refused_openings"));
  CHECK(traffic.CallerCounter("retries") == 2 * refused.size());
}

TEST_CASE("a request whose deadline passes in the queue does not run") {
  TrafficFixture traffic;
  CallerOptions options = MakeOptions(RequestKind::kDeclaration);
  options.m_requests.m_mean_service_time = 200ms;
  options.m_deadline = 300ms;
  traffic.StartCaller(options);
  REQUIRE(traffic.RunToFinalReport());

  const auto refused = CountIds(traffic.m_caller->RefusedIdsLine());
  const auto executed = CountIds(traffic.m_server->ExecutionsLine());
  CHECK(traffic.CallerCounter("not_run") == refused.size());
  for (const auto& [id, times] : refused)
    CHECK_FALSE(executed.contains(id));
  CHECK(traffic.CallerCounter("whole") + traffic.CallerCounter("not_run") +
            traffic.CallerCounter("expired") ==
        traffic.CallerCounter("flows"));
  CHECK(traffic.CallerCounter("expired") > 0);
}

TEST_CASE("a cancelled request frees its slot or its place in the queue") {
  TrafficFixture traffic;
  CallerOptions options = MakeOptions(RequestKind::kDeclaration);
  options.m_requests.m_mean_service_time = 1h;
  options.m_deadline = 300ms;
  traffic.StartCaller(options);
  REQUIRE(traffic.RunToFinalReport());

  CHECK(traffic.RunUntil([&] {
    return traffic.ServerCounter("busy") == 0 &&
           traffic.ServerCounter("queued") == 0;
  }));
  CHECK(traffic.ServerCounter("cancelled_running") ==
        traffic.ServerCounter("executions"));
}

TEST_CASE("flows are whole on source ports that are reused at once") {
  TrafficFixture traffic;
  traffic.m_proxy_commands.Execute("delay 0 5");
  CallerOptions options = MakeOptions(RequestKind::kShort);
  options.m_low_port = 5000;
  options.m_high_port = 5019;
  options.m_port_reuse = stand_ins::PortReuse::kShortestFree;
  traffic.StartCaller(options);
  REQUIRE(traffic.RunToFinalReport());

  const std::uint64_t flows = traffic.CallerCounter("flows");
  CHECK(flows > 50);
  CHECK(traffic.CallerCounter("whole") +
            traffic.CallerCounter("skipped_openings") ==
        flows);
  CHECK(traffic.CallerCounter("wrong_bytes") == 0);
  CHECK(traffic.ServerCounter("executions_repeated") == 0);
}

TEST_CASE(
    "flows that a server forgot break with the result unknown_to_server") {
  TrafficFixture traffic;
  CallerOptions options = MakeOptions(RequestKind::kFeed);
  options.m_duration = 10s;
  options.m_maximum_flows = 20;
  traffic.StartCaller(options);
  REQUIRE(traffic.RunUntil(
      [&] { return traffic.CallerCounter("feed_events") > 40; }));
  traffic.m_server_commands.Execute("become service 127.64.200.1:80");
  REQUIRE(
      traffic.RunUntil([&] { return traffic.CallerCounter("broken") == 20; }));
  CHECK(traffic.CallerCounter("unknown_to_server") == 20);
}

TEST_CASE("a server counts packets for another service as foreign") {
  TrafficFixture traffic;
  traffic.m_server_commands.Execute("become other 127.64.200.2:80");

  traffic.StartCaller(MakeOptions(RequestKind::kShort));

  REQUIRE(traffic.RunUntil(
      [&] { return traffic.ServerCounter("foreign_packets") > 0; }));
  CHECK(traffic.CallerCounter("established") == 0);
}

TEST_CASE("a flow without progress is silent after the silence limit") {
  TrafficFixture traffic;
  CallerOptions options = MakeOptions(RequestKind::kShort);
  options.m_requests.m_mean_service_time = 10s;
  options.m_silence = 1500ms;
  options.m_maximum_flows = 10;
  traffic.StartCaller(options);
  REQUIRE(traffic.RunUntil(
      [&] { return traffic.CallerCounter("established") == 10; }));
  traffic.m_server_commands.Execute("silence on");
  REQUIRE(traffic.RunToFinalReport());

  CHECK(traffic.CallerCounter("silent") + traffic.CallerCounter("whole") == 10);
  CHECK(traffic.CallerCounter("silent") >= 7);
}
