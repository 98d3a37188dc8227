#include "LibConfiguration/difference.h"

#include <fmt/format.h>

#include <map>
#include <string_view>

#include "LibBase/overloaded.h"

namespace configuration {

namespace {

template <typename Item>
std::map<std::string_view, const Item*> IndexByName(
    const std::vector<Item>& items) {
  std::map<std::string_view, const Item*> index;
  for (const Item& item : items)
    index.emplace(item.m_name, &item);
  return index;
}

void CompareServer(const Service& service,
                   const BackendServer& before,
                   const BackendServer& after,
                   std::vector<Change>& changes) {
  for (const auto& entry : kBackendServerFieldNames) {
    const std::string old_text = TextOf(before, entry.m_value);
    const std::string new_text = TextOf(after, entry.m_value);
    if (old_text != new_text)
      changes.emplace_back(BackendServerChanged{
          service.m_name, after.m_name, entry.m_value, old_text, new_text});
  }
}

void CompareServers(const Service& before,
                    const Service& after,
                    std::vector<Change>& changes) {
  const auto old_servers = IndexByName(before.m_backend_servers);
  const auto new_servers = IndexByName(after.m_backend_servers);
  for (const BackendServer& server : before.m_backend_servers) {
    if (!new_servers.contains(server.m_name))
      changes.emplace_back(BackendServerRemoved{after.m_name, server.m_name});
  }
  for (const BackendServer& server : after.m_backend_servers) {
    const auto old = old_servers.find(server.m_name);
    if (old == old_servers.end())
      changes.emplace_back(BackendServerAdded{after.m_name, server.m_name});
    else
      CompareServer(after, *old->second, server, changes);
  }
}

void CompareService(const Service& before,
                    const Service& after,
                    std::vector<Change>& changes) {
  for (const auto& entry : kServiceFieldNames) {
    const std::string old_text = TextOf(before, entry.m_value);
    const std::string new_text = TextOf(after, entry.m_value);
    if (old_text != new_text)
      changes.emplace_back(
          ServiceChanged{after.m_name, entry.m_value, old_text, new_text});
  }
  CompareServers(before, after, changes);
}

}  // namespace

std::string TextOf(const Service& service, ServiceField field) {
  switch (field) {
    case ServiceField::kAddress:
      return ToString(service.m_address);
    case ServiceField::kCandidates:
      return fmt::format("{}", service.m_placement.m_candidates);
    case ServiceField::kImbalanceWeight:
      return fmt::format("{}", service.m_placement.m_imbalance_weight);
    case ServiceField::kBrokenFlows:
      return fmt::format("{}", service.m_objective.m_broken_flows);
    case ServiceField::kRefusedOpenings:
      return fmt::format("{}", service.m_objective.m_refused_openings);
    case ServiceField::kWait:
      return fmt::format("{}", service.m_objective.m_wait.count());
    case ServiceField::kRetryBudget:
      return fmt::format("{}", service.m_limits.m_retry_budget_percent);
    case ServiceField::kOpeningDeadline:
      return fmt::format("{}", service.m_limits.m_opening_deadline.count());
  }
  return {};
}

std::string TextOf(const BackendServer& server, BackendServerField field) {
  switch (field) {
    case BackendServerField::kDataCentre:
      return server.m_data_centre.value();
    case BackendServerField::kAddress:
      return ToString(server.m_address);
    case BackendServerField::kHealth:
      return ToString(server.m_health);
    case BackendServerField::kSlots:
      return fmt::format("{}", server.m_slots);
    case BackendServerField::kConnections:
      return fmt::format("{}", server.m_connections);
    case BackendServerField::kState:
      return std::string(NameOf(kBackendServerStateNames, server.m_state));
    case BackendServerField::kIncarnation:
      return fmt::format("{}", server.m_incarnation);
  }
  return {};
}

std::vector<Change> DifferenceBetween(const Document& before,
                                      const Document& after) {
  std::vector<Change> changes;
  const auto old_services = IndexByName(before.m_services);
  const auto new_services = IndexByName(after.m_services);
  for (const Service& service : before.m_services) {
    if (!new_services.contains(service.m_name))
      changes.emplace_back(ServiceRemoved{service.m_name});
  }
  for (const Service& service : after.m_services) {
    const auto old = old_services.find(service.m_name);
    if (old != old_services.end()) {
      CompareService(*old->second, service, changes);
      continue;
    }
    changes.emplace_back(ServiceAdded{service.m_name});
    for (const BackendServer& server : service.m_backend_servers)
      changes.emplace_back(BackendServerAdded{service.m_name, server.m_name});
  }
  return changes;
}

std::string ToString(const Change& change) {
  return std::visit(
      base::Overloaded{
          [](const ServiceAdded& added) {
            return fmt::format("service {}: added", added.m_service);
          },
          [](const ServiceRemoved& removed) {
            return fmt::format("service {}: removed", removed.m_service);
          },
          [](const ServiceChanged& changed) {
            return fmt::format("service {}: {}: {} -> {}", changed.m_service,
                               NameOf(kServiceFieldNames, changed.m_field),
                               changed.m_before, changed.m_after);
          },
          [](const BackendServerAdded& added) {
            return fmt::format("service {}: backend server {}: added",
                               added.m_service, added.m_server);
          },
          [](const BackendServerRemoved& removed) {
            return fmt::format("service {}: backend server {}: removed",
                               removed.m_service, removed.m_server);
          },
          [](const BackendServerChanged& changed) {
            return fmt::format(
                "service {}: backend server {}: {}: {} -> {}",
                changed.m_service, changed.m_server,
                NameOf(kBackendServerFieldNames, changed.m_field),
                changed.m_before, changed.m_after);
          }},
      change);
}

std::string ToString(const std::vector<Change>& changes) {
  std::string text;
  for (const Change& change : changes)
    text += ToString(change) + "\n";
  return text;
}

}  // namespace configuration
