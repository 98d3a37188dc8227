#include "user_deployment.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "child_process.h"
#include "deployment.h"
#include "harness_error.h"

namespace local_deployment {

namespace {

using integration::CallerOptions;
using integration::ChildProcess;
using integration::Deployment;
using integration::JsonLine;
using std::chrono::hours;
using std::chrono::seconds;

constexpr auto kListeningTimeout = seconds(10);
constexpr auto kReportTimeout = seconds(60);
// Long enough that openings continue until StopLoad stops them.
constexpr auto kLoadDuration = hours(24 * 7);
constexpr int kRequestMilliseconds = 50;
constexpr int kPullBytes = 200'000;
constexpr int kFeedsPerDataCentre = 20;
constexpr double kShortPerSecond = 30;
constexpr double kDeclarationsPerSecond = 20;
constexpr double kPullsPerSecond = 4;
constexpr double kFeedsPerSecond = 4;

CallerOptions MakeLoad(const std::string& kind, double openings_per_second) {
  return {.m_kind = kind,
          .m_openings_per_second = openings_per_second,
          .m_duration = kLoadDuration,
          .m_service_time_ms = kRequestMilliseconds};
}

std::uint64_t Count(const JsonLine& line, const std::string& name) {
  return line.get<std::uint64_t>(name, 0);
}

FlowCounts CountsOf(const JsonLine& line) {
  return {.m_flows = Count(line, "flows"),
          .m_established = Count(line, "established"),
          .m_open = Count(line, "open"),
          .m_whole = Count(line, "whole"),
          .m_broken = Count(line, "broken"),
          .m_refused_openings = Count(line, "refused_openings"),
          .m_unanswered_openings = Count(line, "unanswered_openings"),
          .m_wrong_bytes = Count(line, "wrong_bytes"),
          .m_crossed_answers = Count(line, "crossed_answers")};
}

void Add(const FlowCounts& counts, FlowCounts& sum) {
  sum.m_flows += counts.m_flows;
  sum.m_established += counts.m_established;
  sum.m_open += counts.m_open;
  sum.m_whole += counts.m_whole;
  sum.m_broken += counts.m_broken;
  sum.m_refused_openings += counts.m_refused_openings;
  sum.m_unanswered_openings += counts.m_unanswered_openings;
  sum.m_wrong_bytes += counts.m_wrong_bytes;
  sum.m_crossed_answers += counts.m_crossed_answers;
}

// Returns the maximum divided by the mean, or 1 if all values are zero.
double PeakOverMean(const std::vector<std::uint64_t>& values) {
  std::uint64_t sum = 0;
  std::uint64_t peak = 0;
  for (const std::uint64_t value : values) {
    sum += value;
    peak = std::max(peak, value);
  }
  if (sum == 0)
    return 1;
  return static_cast<double>(peak) * static_cast<double>(values.size()) /
         static_cast<double>(sum);
}

}  // namespace

UserDeployment::UserDeployment(const UserProfile& profile)
    : m_profile(profile) {
  const std::string block = std::to_string(profile.m_first_number);
  m_document.m_services[profile.m_portal].m_address =
      *base::ParseEndpoint("127.48." + block + ".1:443");
  m_document.m_services[profile.m_archive].m_address =
      *base::ParseEndpoint("127.48." + block + ".2:443");
  for (std::size_t i = 0; i < profile.m_data_centres.size(); ++i)
    AddDataCentre(i);
  const auto version = m_platform.PutDocument(m_document.Render("first"), 0);
  integration::Require(version > 0, "the platform refused the document");
  for (std::size_t i = 0; i < m_deployments.size(); ++i)
    StartBalancers(*m_deployments[i], profile.m_data_centres[i]);
  for (const auto& deployment : m_deployments)
    deployment->AwaitInForce(version);
}

UserDeployment::~UserDeployment() = default;

void UserDeployment::AddDataCentre(std::size_t index) {
  const std::string& name = m_profile.m_data_centres[index];
  const int offset = static_cast<int>(index);
  m_deployments.push_back(std::make_unique<Deployment>(
      m_platform, m_document,
      Deployment::Options{
          .m_data_centre = name,
          .m_number = m_profile.m_first_number + offset,
          .m_seed = m_profile.m_seed + static_cast<unsigned>(offset),
          .m_server_slots = m_profile.m_slots}));
  Deployment& deployment = *m_deployments.back();
  AddServers(deployment, name, m_profile.m_portal, m_profile.m_portal_servers);
  AddServers(deployment, name, m_profile.m_archive,
             m_profile.m_archive_servers);
}

void UserDeployment::AddServers(Deployment& deployment,
                                const std::string& data_centre,
                                const std::string& service,
                                int count) {
  const std::string prefix = data_centre + "-" + service + "-";
  for (int i = 1; i <= count; ++i)
    deployment.AddServer(service, prefix + std::to_string(i));
}

void UserDeployment::StartBalancers(Deployment& deployment,
                                    const std::string& data_centre) {
  for (int i = 1; i <= m_profile.m_balancers; ++i)
    deployment.StartBalancer(data_centre + "-entry-" + std::to_string(i));
  for (const std::string& name : deployment.BalancerNames())
    deployment.AnnounceBalancer(name);
  for (const std::string& name : deployment.BalancerNames())
    deployment.AwaitReady(name);
}

std::string UserDeployment::ConsoleEndpoint(std::size_t data_centre) {
  Deployment& deployment = *m_deployments.at(data_centre);
  ChildProcess& balancer =
      deployment.Balancer(deployment.BalancerNames().front());
  return balancer.WaitFor("listening", kListeningTimeout).get("admin", "");
}

void UserDeployment::StartLoad() {
  for (const auto& deployment : m_deployments)
    StartCallers(*deployment);
}

void UserDeployment::StartCallers(Deployment& deployment) {
  const auto start = [&](const std::string& service,
                         const CallerOptions& options) {
    m_callers.push_back({deployment.StartCaller(service, options), {}});
  };
  start(m_profile.m_portal, MakeLoad("short", kShortPerSecond));
  start(m_profile.m_portal, MakeLoad("declaration", kDeclarationsPerSecond));
  CallerOptions feeds = MakeLoad("feed", kFeedsPerSecond);
  feeds.m_extra_options = {"--flows", std::to_string(kFeedsPerDataCentre)};
  start(m_profile.m_portal, feeds);
  CallerOptions pulls = MakeLoad("pull", kPullsPerSecond);
  pulls.m_answer_bytes = kPullBytes;
  start(m_profile.m_archive, pulls);
}

FlowCounts UserDeployment::PollLoad() {
  FlowCounts sum;
  for (LoadCaller& caller : m_callers) {
    if (const auto line = caller.m_process->LastLine("progress"))
      caller.m_counts = CountsOf(*line);
    caller.m_process->DiscardLines();
    Add(caller.m_counts, sum);
  }
  return sum;
}

LoadResult UserDeployment::StopLoad() {
  for (const LoadCaller& caller : m_callers)
    caller.m_process->SendLine("stop");
  LoadResult result;
  for (const LoadCaller& caller : m_callers) {
    const JsonLine report = caller.m_process->WaitFor("report", kReportTimeout);
    Add(CountsOf(report), result.m_counts);
    result.m_wait_p50_ms =
        std::max(result.m_wait_p50_ms, report.get("wait_p50_ms", 0.0));
    result.m_wait_p99_ms =
        std::max(result.m_wait_p99_ms, report.get("wait_p99_ms", 0.0));
  }
  for (std::size_t i = 0; i < m_deployments.size(); ++i) {
    UpdateImbalance(*m_deployments[i], m_profile.m_data_centres[i], result);
    result.m_foreign_packets +=
        m_deployments[i]->SumOverServers("foreign_packets");
    result.m_executed_twice += m_deployments[i]->CountExecutedTwice();
  }
  return result;
}

void UserDeployment::UpdateImbalance(Deployment& deployment,
                                     const std::string& data_centre,
                                     LoadResult& result) {
  for (const auto& [service, model] : m_document.m_services) {
    std::vector<std::uint64_t> accepted;
    for (const auto& [name, server] : model.m_servers) {
      if (server.m_data_centre == data_centre)
        accepted.push_back(
            Count(deployment.Server(name).SendAndWait("report", "report"),
                  "accepted"));
    }
    double& imbalance = result.m_imbalance[service];
    imbalance = std::max(imbalance, PeakOverMean(accepted));
  }
}

}  // namespace local_deployment
