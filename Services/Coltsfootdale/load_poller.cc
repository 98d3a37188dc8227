#include "load_poller.h"

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <chrono>
#include <optional>
#include <sstream>
#include <utility>

#include "LibPlacement/server_health.h"

namespace service {

namespace {

// The time limit for the whole request, including the connection.
constexpr auto kTimeout = std::chrono::milliseconds(400);
constexpr std::size_t kMaximumResponseBytes = 4096;
constexpr std::uint16_t kStatusOk = 200;
constexpr const char* kDrainingState = "draining";

std::optional<placement::LoadReported> ParseReport(const std::string& body) {
  try {
    std::istringstream stream(body);
    boost::property_tree::ptree tree;
    boost::property_tree::read_json(stream, tree);
    placement::LoadReported report;
    report.m_busy = tree.get<std::uint32_t>("busy");
    report.m_queued = tree.get<std::uint32_t>("queued");
    report.m_slots = tree.get<std::uint32_t>("slots");
    report.m_connections = tree.get<std::uint32_t>("connections");
    report.m_connection_limit = tree.get<std::uint32_t>("limit");
    return report;
  } catch (const boost::property_tree::ptree_error&) {
    return std::nullopt;
  }
}

bool ReportsDraining(const std::string& body) {
  try {
    std::istringstream stream(body);
    boost::property_tree::ptree tree;
    boost::property_tree::read_json(stream, tree);
    return tree.get("state", "") == kDrainingState;
  } catch (const boost::property_tree::ptree_error&) {
    return false;
  }
}

placement::Health HealthOf(const base::Outcome<http::Response>& outcome) {
  if (!outcome)
    return placement::Health::kUnhealthy;
  if (outcome.value().m_status == kStatusOk)
    return placement::Health::kHealthy;
  return ReportsDraining(outcome.value().m_body)
             ? placement::Health::kDraining
             : placement::Health::kUnhealthy;
}

http::Request MakeRequest(const PolledServer& server, std::string path) {
  return {.m_endpoint = server.m_health,
          .m_path = std::move(path),
          .m_timeout = kTimeout,
          .m_connect_timeout = kTimeout,
          .m_response_limit_bytes = kMaximumResponseBytes};
}

}  // namespace

LoadPoller::LoadPoller(asio::io_context& context, ReportHandler on_report)
    : m_client(context), m_on_report(std::move(on_report)) {}

void LoadPoller::SetServers(std::vector<PolledServer> servers) {
  m_servers = std::move(servers);
}

void LoadPoller::Poll() {
  for (std::size_t i = m_next_group; i < m_servers.size(); i += kPollGroups) {
    RequestHealth(m_servers[i]);
    RequestLoad(m_servers[i]);
  }
  m_next_group = (m_next_group + 1) % kPollGroups;
}

void LoadPoller::RequestHealth(const PolledServer& server) {
  m_client.Send(
      MakeRequest(server, "/health"),
      [this, server](const auto& outcome) { ReportHealth(server, outcome); });
}

void LoadPoller::RequestLoad(const PolledServer& server) {
  const base::TimePoint requested_at = base::Clock::now();
  m_client.Send(MakeRequest(server, "/load"),
                [this, server, requested_at](const auto& outcome) {
                  ReportLoad(server, requested_at, outcome);
                });
}

void LoadPoller::ReportHealth(const PolledServer& server,
                              const base::Outcome<http::Response>& outcome) {
  m_on_report(server.m_service,
              placement::HealthReported{server.m_server, HealthOf(outcome)});
}

void LoadPoller::ReportLoad(const PolledServer& server,
                            base::TimePoint requested_at,
                            const base::Outcome<http::Response>& outcome) {
  if (!outcome || outcome.value().m_status != kStatusOk)
    return;
  auto report = ParseReport(outcome.value().m_body);
  if (!report)
    return;
  report->m_server = server.m_server;
  report->m_age = base::Clock::now() - requested_at;
  m_on_report(server.m_service, *report);
}

}  // namespace service
