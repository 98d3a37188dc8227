#include "claim_checker.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <tuple>

#include "LibBase/milliseconds.h"
#include "StandIns/event_loop.h"
#include "edge_fleet.h"
#include "invariant_checker.h"
#include "network.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

// Each balancer is asked about this often, at random times.
constexpr base::Duration kClaimInterval = milliseconds(250);
constexpr base::Duration kStatusTimeout = milliseconds(1000);
constexpr std::size_t kOpenRequests = 200;

}  // namespace

ClaimChecker::ClaimChecker(stand_ins::EventLoop* loop,
                           InvariantChecker* checker,
                           const EdgeFleet* fleet,
                           std::uint64_t seed)
    : m_loop(loop),
      m_checker(checker),
      m_fleet(fleet),
      m_random(seed),
      m_client(loop->Context()) {
  m_loop->Timers().SubscribeEvery(stand_ins::EventLoop::Now(),
                                  kClaimInterval / m_fleet->size(),
                                  [this](base::TimePoint) { RequestClaim(); });
}

void ClaimChecker::OnServersChanged(std::uint64_t era,
                                    std::uint64_t revision,
                                    base::TimePoint now) {
  m_servers.push_back({era, revision, now});
}

void ClaimChecker::OnManifestChanged(std::uint64_t version,
                                     base::TimePoint now) {
  m_manifests.push_back({version, now});
}

void ClaimChecker::OnStoreRestored() {
  m_servers.clear();
  m_manifests.clear();
  ++m_restores;
}

void ClaimChecker::RequestClaim() {
  if (m_client.OpenRequests() >= kOpenRequests)
    return;
  const auto edge = static_cast<std::uint32_t>(m_random.Below(m_fleet->size()));
  http::Request request;
  request.m_endpoint = m_fleet->MetricsEndpoint(edge);
  request.m_path = "/status";
  request.m_timeout = kStatusTimeout;
  m_client.Send(request, [this, now = stand_ins::EventLoop::Now(),
                          restores = m_restores](
                             const base::Outcome<http::Response>& response) {
    // A view of before the restore is compared with nothing that was lost.
    if (response && response.value().m_status == 200 && restores == m_restores)
      Check(response.value().m_body, now);
  });
}

void ClaimChecker::Check(std::string_view status,
                         base::TimePoint requested_at) {
  rapidjson::Document document;
  document.Parse(status.data(), status.size());
  if (document.HasParseError() || !document.IsObject()) {
    m_checker->OnFalseClaim("the status page is no object: " +
                            std::string(status));
    return;
  }
  const std::int64_t age_ms = document["servers_age_ms"].GetInt64();
  if (age_ms < 0)
    return;
  ++m_checked;
  // The page was made after the request was sent. Its age is cut to whole
  // milliseconds.
  const base::TimePoint current_as_of = requested_at - milliseconds(age_ms + 1);
  const auto is_claimed = [&](const auto& change) {
    return change.m_at < current_as_of;
  };
  const auto servers =
      std::find_if(m_servers.rbegin(), m_servers.rend(), is_claimed);
  const auto manifest =
      std::find_if(m_manifests.rbegin(), m_manifests.rend(), is_claimed);
  const std::uint64_t era = document["store_era"].GetUint64();
  const std::uint64_t revision = document["servers_revision"].GetUint64();
  const std::uint64_t version = document["manifest"].GetUint64();
  const bool lacks_servers =
      servers != m_servers.rend() &&
      std::tie(era, revision) < std::tie(servers->m_era, servers->m_revision);
  const bool lacks_manifest =
      manifest != m_manifests.rend() && version < manifest->m_version;
  if (!lacks_servers && !lacks_manifest)
    return;
  const base::TimePoint missing =
      lacks_servers ? servers->m_at : manifest->m_at;
  m_checker->OnFalseClaim(fmt::format(
      "{} with servers {}/{} and manifest {} claims an age of {} ms, confirmed "
      "by {}, and lacks {} of {} ms before the request",
      document["vm"].GetString(), era, revision, version, age_ms,
      document["confirmed_by"].GetString(),
      lacks_servers
          ? fmt::format("servers {}/{}", servers->m_era, servers->m_revision)
          : fmt::format("manifest {}", manifest->m_version),
      base::WholeMilliseconds(requested_at - missing)));
}

}  // namespace soak
