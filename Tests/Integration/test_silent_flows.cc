// Guards against flows that hang when the network loses their packets in one
// direction: the balancers must reset such flows at both ends. Also guards
// against resets of flows that still work.

#include <doctest/doctest.h>

#include <iostream>
#include <optional>
#include <thread>

#include "http_call.h"
#include "scenario.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 121;
constexpr int kFlows = 40;
// Both ends must be reset in this time, counted from the loss. The loss comes
// before the first retransmission that stays unanswered.
constexpr auto kTarget = seconds(15);
// Longer than the target, and shorter than the timeouts of both ends.
constexpr auto kWithoutMechanism = seconds(20);
// The callers and servers have timeouts of 30 s and more of their own.
constexpr const char* kLongTimeoutMs = "60000";

// Feeds whose readers upload too, so that both ends send all the time.
std::unique_ptr<integration::ChildProcess> StartFeeds(
    integration::Deployment& deployment) {
  return deployment.StartCaller(
      integration::kPortal,
      {.m_kind = "feed",
       .m_openings_per_second = 80,
       .m_duration = seconds(120),
       .m_extra_options = {"--flows", std::to_string(kFlows),
                           "--feed-interval-ms", "300", "--upload-interval-ms",
                           "300", "--silence-ms", kLongTimeoutMs,
                           "--deadline-ms", kLongTimeoutMs}});
}

void AwaitFeeds(integration::ChildProcess& caller) {
  caller.WaitFor("progress", seconds(20), [](const auto& line) {
    return line.get("established", 0) == kFlows &&
           line.get("feed_events", 0) > 2 * kFlows;
  });
}

std::string AddressOf(const integration::ChildProcess& caller) {
  const auto line = caller.LastLine("listening");
  REQUIRE(line);
  const std::string endpoint = line->get("caller", "");
  return endpoint.substr(0, endpoint.find(':'));
}

int Resets(integration::ChildProcess& caller) {
  return caller.SendAndWait("report", "report").get("resets", 0);
}

// The number of flows that the balancers report as reset.
std::uint64_t CountReset(integration::Deployment& deployment) {
  const std::string name =
      "coltsfootdale_traffic_total{event=\"silent_flows_reset\"} ";
  std::uint64_t sum = 0;
  for (const auto& balancer : deployment.BalancerNames()) {
    const auto listening = deployment.Balancer(balancer).LastLine("listening");
    const auto admin = base::ParseEndpoint(listening->get("admin", ""));
    const auto page =
        integration::CallHttp(*admin, http::Method::kGet, "/metrics", {}, "");
    const std::size_t at = page.m_body.find(name);
    REQUIRE(at != std::string::npos);
    sum += std::stoull(page.m_body.substr(at + name.size()));
  }
  return sum;
}

struct ResetTimes {
  // The time from the loss until all flows were reset at the callers, and
  // closed at the servers.
  std::optional<milliseconds> m_callers;
  std::optional<milliseconds> m_servers;
};

// Loses the packets of one caller's flows in the direction from the caller, and
// of another caller's flows in the direction from the servers. Later flows
// pass.
ResetTimes LoseFlows(const std::string& settings, milliseconds timeout) {
  integration::Scenario scenario({.m_seed = kSeed, .m_settings = settings});
  integration::Deployment& deployment = scenario.deployment();
  const auto feeds_lost_from_callers = StartFeeds(deployment);
  const auto feeds_lost_from_servers = StartFeeds(deployment);
  AwaitFeeds(*feeds_lost_from_callers);
  AwaitFeeds(*feeds_lost_from_servers);

  deployment.Fabric().SendAndWait(
      "lose callers " + AddressOf(*feeds_lost_from_callers), "done");
  deployment.Fabric().SendAndWait(
      "lose servers " + AddressOf(*feeds_lost_from_servers), "done");
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [&start] {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - start);
  };
  ResetTimes reset_times;
  while (elapsed() < timeout &&
         !(reset_times.m_callers && reset_times.m_servers)) {
    std::this_thread::sleep_for(milliseconds(100));
    if (!reset_times.m_callers && Resets(*feeds_lost_from_callers) == kFlows &&
        Resets(*feeds_lost_from_servers) == kFlows)
      reset_times.m_callers = elapsed();
    if (!reset_times.m_servers && deployment.SumOverServers("connections") == 0)
      reset_times.m_servers = elapsed();
  }
  std::cout << "lost in one direction each, 2 x " << kFlows << " flows, seed "
            << kSeed << ": resets " << Resets(*feeds_lost_from_callers)
            << " and " << Resets(*feeds_lost_from_servers)
            << ", open at servers " << deployment.SumOverServers("connections")
            << ", callers reset in "
            << (reset_times.m_callers ? reset_times.m_callers->count() : -1)
            << " ms, servers in "
            << (reset_times.m_servers ? reset_times.m_servers->count() : -1)
            << " ms, reset by balancers " << CountReset(deployment)
            << std::endl;
  const auto later =
      deployment.StartCaller(integration::kPortal, {.m_duration = seconds(1)});
  const auto report = later->WaitFor("report", seconds(10));
  CHECK(report.get("whole", 0) == report.get("flows", 0));
  return reset_times;
}

}  // namespace

TEST_CASE("both ends of silent flows are reset in 15 s") {
  const ResetTimes reset_times = LoseFlows("", kTarget);

  CHECK(reset_times.m_callers);
  CHECK(reset_times.m_servers);
}

TEST_CASE("without silence detection neither end is reset in 20 s") {
  const ResetTimes reset_times =
      LoseFlows("mechanisms: {detect_silence: false}\n", kWithoutMechanism);

  CHECK_FALSE(reset_times.m_callers);
  CHECK_FALSE(reset_times.m_servers);
}

TEST_CASE("loss, delay, slow servers and a paused balancer reset no flow") {
  integration::Scenario scenario(
      {.m_seed = kSeed, .m_has_fault_proxies = true});
  integration::Deployment& deployment = scenario.deployment();
  for (const char* fault : {"loss 0.05", "reorder 0.05", "delay 5 5"})
    deployment.SetFault(fault);
  const auto feeds = StartFeeds(deployment);
  const auto slow = deployment.StartCaller(
      integration::kPortal,
      {.m_openings_per_second = 2,
       .m_duration = seconds(10),
       .m_service_time_ms = 8000,
       .m_extra_options = {"--silence-ms", kLongTimeoutMs, "--deadline-ms",
                           kLongTimeoutMs}});
  const auto pulls = deployment.StartCaller(
      integration::kPortal,
      {.m_kind = "pull",
       .m_openings_per_second = 10,
       .m_duration = seconds(10),
       .m_answer_bytes = 100000,
       .m_extra_options = {"--silence-ms", kLongTimeoutMs}});
  AwaitFeeds(*feeds);
  deployment.PauseBalancer("entry-1");
  feeds->WaitFor("progress", seconds(30), [](const auto& line) {
    return line.get("feed_events", 0) > 50 * kFlows;
  });

  CHECK(CountReset(deployment) == 0);
  for (const auto* caller : {&feeds, &slow, &pulls}) {
    const auto report = (*caller)->SendAndWait("report", "report");
    integration::PrintFigures("faults without silence", kSeed, report);
    CHECK(report.get("resets", 0) == 0);
    CHECK(report.get("established", 0) > 0);
  }
}
