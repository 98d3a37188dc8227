#include "invariant_checker.h"

#include <algorithm>

namespace soak {

namespace {

// A flow's packets that may reach another server: one burst that was already in
// flight.
constexpr int kAllowedMisroutedPackets = 2;
// The users' rollback_slack_ms.
constexpr base::Duration kRegressionSlack = std::chrono::milliseconds(250);
constexpr int kMaximumViolationsOfRule = 50;

void Extend(std::map<std::string, base::TimePoint>& until,
            const std::string& name,
            base::TimePoint end) {
  base::TimePoint& entry = until[name];
  entry = std::max(entry, end);
}

}  // namespace

InvariantChecker::InvariantChecker(const DeploymentProfile& profile)
    : m_change_deadline(std::chrono::milliseconds(
          std::max(profile.m_drain_bound_ms,
                   profile.m_configuration_bound_ms))),
      m_settling_time(std::chrono::milliseconds(profile.m_settling_time_ms)),
      m_evacuation_bound(
          std::chrono::milliseconds(profile.m_evacuation_bound_ms)) {}

std::pair<std::uint64_t, std::uint64_t> InvariantChecker::ServedSince(
    base::TimePoint since) const {
  std::pair<std::uint64_t, std::uint64_t> counts{0, 0};
  for (const auto& [sent_at, is_served] : m_answers) {
    if (sent_at < since)
      continue;
    counts.first += is_served ? 1 : 0;
    ++counts.second;
  }
  return counts;
}

void InvariantChecker::DisturbStore(base::TimePoint now,
                                    base::Duration length) {
  m_store_disturbed_until = std::max(m_store_disturbed_until, now + length);
}

void InvariantChecker::DisturbEdge(base::Ipv4Address edge,
                                   base::TimePoint now,
                                   base::Duration length) {
  Extend(m_edges_disturbed_until, ToString(edge), now + length);
}

void InvariantChecker::DisturbServer(const std::string& server,
                                     base::TimePoint now,
                                     base::Duration length) {
  Extend(m_servers_disturbed_until, server, now + length);
}

void InvariantChecker::OnEdgeStarted(base::Ipv4Address edge) {
  m_shown.erase(ToString(edge));
}

void InvariantChecker::OnServerRegistered(const std::string& server,
                                          const std::string& service,
                                          const std::string& data_centre,
                                          base::TimePoint now) {
  m_registered[server] = {service, data_centre, now};
  m_data_centres[server] = data_centre;
}

void InvariantChecker::OnEvacuationStarted(const std::string& data_centre,
                                           base::TimePoint now) {
  m_evacuations[data_centre] = {now, std::nullopt};
}

void InvariantChecker::OnEvacuationEnded(const std::string& data_centre,
                                         base::TimePoint now) {
  m_evacuations[data_centre].m_ended_at = now;
}

void InvariantChecker::OnEntriesLapsed() {
  m_have_entries_lapsed = true;
  m_registered.clear();
}

void InvariantChecker::OnDrainAcknowledged(const std::string& server,
                                           base::TimePoint now) {
  if (now >= m_store_disturbed_until + m_settling_time)
    m_draining.emplace(server, now);
}

void InvariantChecker::OnRouteAdded(base::Endpoint address,
                                    const std::string& service,
                                    base::TimePoint now) {
  RouteHistory& route = m_routes[address];
  route.m_services.insert(service);
  route.m_added_by = ++m_changes;
  route.m_added_at = now;
  route.m_has_returned = route.m_dropped_at.has_value();
  route.m_dropped_at.reset();
}

void InvariantChecker::OnRouteDropped(base::Endpoint address,
                                      base::TimePoint now) {
  m_routes[address].m_dropped_by = ++m_changes;
  m_routes[address].m_dropped_at = now;
}

void InvariantChecker::OnPacketCorrupted(const std::string& receiver) {
  Report("UNASKED", "a corrupted packet reached " + receiver);
}

void InvariantChecker::OnOpeningAccepted(const std::string& server,
                                         const std::string& service,
                                         base::Ipv4Address edge,
                                         const flow::FlowKey& flow,
                                         base::TimePoint now) {
  const auto route = m_routes.find(flow.m_service);
  const std::string details = ToString(flow.m_caller) + " to " +
                              ToString(flow.m_service) + " was accepted by " +
                              server + " from " + ToString(edge);
  if (route == m_routes.end() || !route->second.m_services.contains(service)) {
    Report("ROUTE", details);
    return;
  }
  // An opening on a route that has returned may show the manifest before the
  // route was dropped.
  const RouteHistory& history = route->second;
  if (!history.m_dropped_at && !history.m_has_returned)
    RecordShown(edge, history.m_added_by, now);
  else if (history.m_dropped_at &&
           HasShown(edge, route->second.m_dropped_by, now))
    Report("CONFIG", "a removed route was in force again: " + details);
  if (!IsViewCurrent(edge, now))
    return;
  if (route->second.m_dropped_at &&
      now > *route->second.m_dropped_at + m_change_deadline)
    Report("CONFIG", "an opening used a removed route: " + details);
  if (MustBeEvacuated(server, now))
    Report("EVACUATED", details);
  const auto draining = m_draining.find(server);
  if (draining != m_draining.end() &&
      now > draining->second + m_change_deadline)
    Report("DRAIN", details);
}

void InvariantChecker::OnFlowOpened(const std::string& server,
                                    const flow::FlowKey& flow,
                                    base::TimePoint now) {
  m_open[flow] = {server, now};
}

void InvariantChecker::OnMisroutedPacket(const std::string& server,
                                         const flow::FlowKey& flow) {
  const auto open = m_open.find(flow);
  if (open == m_open.end() || open->second.m_server == server)
    return;
  if (++open->second.m_misrouted_packets > kAllowedMisroutedPackets)
    Report("FLOW", "packets of " + ToString(flow.m_caller) + " reached " +
                       server + " instead of " + open->second.m_server);
}

void InvariantChecker::OnRequestExecuted(const std::string& request) {
  if (!m_executed_requests.insert(request).second)
    Report("TWICE", "request " + request + " ran twice");
}

void InvariantChecker::OnReset(const flow::FlowKey& flow,
                               base::Ipv4Address edge,
                               bool is_open,
                               base::TimePoint now) {
  const auto route = m_routes.find(flow.m_service);
  const bool has_route = route != m_routes.end() && !route->second.m_dropped_at;
  if (has_route && !is_open)
    OnOpeningRefused(flow, edge, route->second, now);
  if (!IsViewCurrent(edge, now) || !has_route)
    return;
  const auto open = m_open.find(flow);
  // The manifest that drops a route ends its open flows.
  const bool was_dropped = open != m_open.end() &&
                           route->second.m_has_returned &&
                           open->second.m_opened_at <= route->second.m_added_at;
  if (is_open && open != m_open.end() && !was_dropped &&
      IsSettled(m_servers_disturbed_until, open->second.m_server, now))
    Report("FLOW", ToString(flow.m_caller) + " was reset by " + ToString(edge) +
                       " although " + open->second.m_server + " is running");
}

void InvariantChecker::OnOpeningRefused(const flow::FlowKey& flow,
                                        base::Ipv4Address edge,
                                        const RouteHistory& route,
                                        base::TimePoint now) {
  const std::string details = ToString(flow.m_caller) + " to " +
                              ToString(flow.m_service) + " was refused by " +
                              ToString(edge);
  if (!HasServers(route, now))
    return;
  if (HasShown(edge, route.m_added_by, now))
    Report("CONFIG", "an added route was gone again: " + details);
  else if (IsViewCurrent(edge, now) &&
           now > route.m_added_at + m_change_deadline)
    Report("CONFIG", "an added route is not served: " + details);
}

bool InvariantChecker::HasServers(const RouteHistory& route,
                                  base::TimePoint now) const {
  return std::ranges::all_of(route.m_services, [&](const std::string& service) {
    return HasServer(service, now);
  });
}

bool InvariantChecker::HasServer(const std::string& service,
                                 base::TimePoint now) const {
  // A balancer may learn of the lapse, but not of the entries that came back.
  if (m_have_entries_lapsed && now < m_store_disturbed_until + m_settling_time)
    return false;
  return std::ranges::any_of(m_registered, [&](const auto& entry) {
    const RegisteredServer& server = entry.second;
    return server.m_service == service &&
           now >= server.m_since + m_settling_time &&
           !m_draining.contains(entry.first) &&
           !MayBeEvacuated(server.m_data_centre, now) &&
           IsSettled(m_servers_disturbed_until, entry.first, now);
  });
}

bool InvariantChecker::MayBeEvacuated(const std::string& data_centre,
                                      base::TimePoint now) const {
  const auto found = m_evacuations.find(data_centre);
  if (found == m_evacuations.end())
    return false;
  const auto& ended_at = found->second.m_ended_at;
  return !ended_at || now <= *ended_at + m_evacuation_bound;
}

bool InvariantChecker::MustBeEvacuated(const std::string& server,
                                       base::TimePoint now) const {
  const auto data_centre = m_data_centres.find(server);
  if (data_centre == m_data_centres.end())
    return false;
  const auto found = m_evacuations.find(data_centre->second);
  return found != m_evacuations.end() && !found->second.m_ended_at &&
         now > found->second.m_started_at + m_evacuation_bound;
}

bool InvariantChecker::HasShown(base::Ipv4Address edge,
                                std::uint64_t change,
                                base::TimePoint now) const {
  const auto shown = m_shown.find(ToString(edge));
  return shown != m_shown.end() && shown->second.m_number >= change &&
         now > shown->second.m_seen_at + kRegressionSlack;
}

void InvariantChecker::RecordShown(base::Ipv4Address edge,
                                   std::uint64_t change,
                                   base::TimePoint now) {
  SeenChange& shown = m_shown[ToString(edge)];
  if (shown.m_number < change)
    shown = {change, now};
}

void InvariantChecker::OnProbeUnanswered(const flow::FlowKey& flow,
                                         base::Ipv4Address edge,
                                         base::TimePoint now) {
  const auto route = m_routes.find(flow.m_service);
  if (route == m_routes.end() || route->second.m_dropped_at ||
      !IsViewCurrent(edge, now) || !HasServers(route->second, now))
    return;
  // One probe may have gone to a server that has crashed.
  if (++m_unanswered_probes[{ToString(edge), flow.m_service}] > 1)
    Report("CONFIG",
           "an added route is not served: " + ToString(flow.m_service) +
               " at " + ToString(edge) + " leaves openings without an answer");
}

void InvariantChecker::OnRequestEnded(bool is_served, base::TimePoint sent_at) {
  ++(is_served ? m_served : m_failed);
  m_answers.emplace_back(sent_at, is_served);
}

bool InvariantChecker::IsViewCurrent(base::Ipv4Address edge,
                                     base::TimePoint now) const {
  return now >= m_store_disturbed_until + m_settling_time &&
         IsSettled(m_edges_disturbed_until, ToString(edge), now);
}

bool InvariantChecker::IsSettled(
    const std::map<std::string, base::TimePoint>& until,
    const std::string& name,
    base::TimePoint now) const {
  const auto entry = until.find(name);
  return entry == until.end() || now >= entry->second + m_settling_time;
}

void InvariantChecker::Report(const std::string& rule,
                              const std::string& details) {
  if (++m_violations_of_rule[rule] <= kMaximumViolationsOfRule)
    m_violations.push_back(rule + ": " + details);
}

}  // namespace soak
