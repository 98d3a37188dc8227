#include "LibConfiguration/document_validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "LibBase/hash.h"

namespace configuration {

namespace {

std::string ServicePath(std::size_t service) {
  return fmt::format("services[{}]", service);
}

std::string ServerPath(std::size_t service, std::size_t server) {
  return fmt::format("services[{}].backend_servers[{}]", service, server);
}

// Collects the errors of one document.
class DocumentValidator {
 public:
  explicit DocumentValidator(const Document& document) : m_document(document) {}

  Problems Run() {
    CheckSubmissions();
    for (std::size_t index = 0; index < m_document.m_services.size(); ++index)
      CheckService(index);
    return std::move(m_problems);
  }

 private:
  void CheckSubmissions() {
    base::ConfigurationVersion newer_base_version =
        m_document.m_submission.m_base_version;
    const auto& previous = m_document.m_previous_submissions;
    for (std::size_t index = 0; index < previous.size(); ++index) {
      if (previous[index].m_base_version >= newer_base_version)
        Report(ProblemKind::kContradiction,
               fmt::format("previous_submissions[{}].base_version", index),
               "the base version must be lower than that of the next newer "
               "submission");
      newer_base_version = previous[index].m_base_version;
    }
  }

  void CheckService(std::size_t index) {
    const Service& service = m_document.m_services[index];
    const std::string path = ServicePath(index);
    const auto [same_name, is_new] =
        m_service_names.try_emplace(service.m_name, path);
    if (!is_new)
      Report(ProblemKind::kDuplicateName, path + ".name",
             fmt::format("{} already has the name {}", same_name->second,
                         service.m_name));
    else
      CheckServiceId(service, path);
    const auto [same_address, is_free] =
        m_service_addresses.try_emplace(service.m_address, path);
    if (!is_free)
      Report(ProblemKind::kAddressConflict, path + ".address",
             fmt::format("{} already has the address {}", same_address->second,
                         ToString(service.m_address)));
    CheckServers(index);
  }

  void CheckServiceId(const Service& service, const std::string& path) {
    const auto id = base::MakeServiceId(service.m_name);
    const auto [other, is_new] = m_service_ids.try_emplace(id, path);
    if (!is_new)
      Report(
          ProblemKind::kIdCollision, path + ".name",
          fmt::format("the id of {} equals the id of {}; choose another name",
                      service.m_name, other->second));
  }

  void CheckServers(std::size_t service_index) {
    const Service& service = m_document.m_services[service_index];
    std::map<std::string, std::string> names;
    for (std::size_t index = 0; index < service.m_backend_servers.size();
         ++index) {
      const BackendServer& server = service.m_backend_servers[index];
      const std::string path = ServerPath(service_index, index);
      const auto [other, is_new] = names.try_emplace(server.m_name, path);
      if (!is_new)
        Report(ProblemKind::kDuplicateName, path + ".name",
               fmt::format("{} already has the name {}", other->second,
                           server.m_name));
      else
        CheckServerId(service, server, path);
      CheckServer(server, path);
    }
  }

  void CheckServerId(const Service& service,
                     const BackendServer& server,
                     const std::string& path) {
    const auto id = base::MakeBackendServerId(service.m_name, server.m_name,
                                              server.m_incarnation);
    const auto [other, is_new] = m_server_ids.try_emplace(id, path);
    if (!is_new)
      Report(
          ProblemKind::kIdCollision, path + ".name",
          fmt::format("the id of {} equals the id of {}; choose another name",
                      server.m_name, other->second));
  }

  void CheckServer(const BackendServer& server, const std::string& path) {
    const auto [other, is_free] =
        m_server_addresses.try_emplace(server.m_address.m_address, path);
    if (!is_free)
      Report(ProblemKind::kAddressConflict, path + ".address",
             fmt::format("{} already has the IP address {}", other->second,
                         ToString(server.m_address.m_address)));
    if (server.m_slots > server.m_connections)
      Report(ProblemKind::kContradiction, path + ".slots",
             "the number of slots is greater than the number of connections");
  }

  void Report(ProblemKind kind, std::string path, std::string message) {
    AddProblem(m_problems, {kind, std::move(path), std::move(message), {}});
  }

  const Document& m_document;
  Problems m_problems;
  // The maps hold the path of the service or backend server that has a value.
  std::map<std::string, std::string> m_service_names;
  std::map<base::Endpoint, std::string> m_service_addresses;
  std::map<base::ServiceId, std::string> m_service_ids;
  std::map<base::Ipv4Address, std::string> m_server_addresses;
  std::map<base::BackendServerId, std::string> m_server_ids;
};

struct ServerOfService {
  const Service* m_service;
  const BackendServer* m_server;
};

// Collects the errors and warnings of the replacement of one document by
// another.
class ReplacementValidator {
 public:
  ReplacementValidator(const Document& previous, const Document& next)
      : m_previous(previous), m_next(next) {
    for (const Service& service : previous.m_services)
      Index(service);
  }

  Problems Run() {
    for (std::size_t index = 0; index < m_next.m_services.size(); ++index) {
      CheckServiceAddress(index);
      CheckServers(index);
    }
    // Warnings come last: they cannot push an error out of the bounded list.
    WarnOfServiceAddressChanges();
    WarnOfRemovals();
    return std::move(m_problems);
  }

 private:
  void Index(const Service& service) {
    m_services_by_address.emplace(service.m_address, &service);
    for (const BackendServer& server : service.m_backend_servers) {
      const ServerOfService entry{&service, &server};
      m_servers_by_name.emplace(std::pair(service.m_name, server.m_name),
                                entry);
      m_servers_by_address.emplace(server.m_address.m_address, entry);
    }
  }

  // If an address moved to another service in one step, flows of the old
  // service would reach the new service.
  void CheckServiceAddress(std::size_t index) {
    const Service& service = m_next.m_services[index];
    const auto before = m_services_by_address.find(service.m_address);
    if (before == m_services_by_address.end() ||
        before->second->m_name == service.m_name)
      return;
    Report(ProblemKind::kAddressConflict, ServicePath(index) + ".address",
           fmt::format("{} is the address of service {} in the previous "
                       "document; first submit a document that does not use "
                       "the address",
                       ToString(service.m_address), before->second->m_name));
  }

  void CheckServers(std::size_t service_index) {
    const Service& service = m_next.m_services[service_index];
    for (std::size_t index = 0; index < service.m_backend_servers.size();
         ++index) {
      const std::string path = ServerPath(service_index, index);
      const BackendServer& server = service.m_backend_servers[index];
      CheckIncarnationByName(service, server, path);
      CheckIncarnationByAddress(service, server, path);
    }
  }

  // Checks the incarnation against that of the previous server with the same
  // service and name.
  void CheckIncarnationByName(const Service& service,
                              const BackendServer& server,
                              const std::string& path) {
    const auto found = m_servers_by_name.find({service.m_name, server.m_name});
    if (found == m_servers_by_name.end())
      return;
    const BackendServer& before = *found->second.m_server;
    const bool moved =
        before.m_address.m_address != server.m_address.m_address ||
        before.m_data_centre != server.m_data_centre;
    CheckIncarnation(server, before, moved, path,
                     "the server's address or data centre changes");
  }

  // Checks the incarnation against that of the previous server with the same IP
  // address.
  void CheckIncarnationByAddress(const Service& service,
                                 const BackendServer& server,
                                 const std::string& path) {
    const auto found = m_servers_by_address.find(server.m_address.m_address);
    if (found == m_servers_by_address.end())
      return;
    const ServerOfService& before = found->second;
    const bool same_service = before.m_service->m_name == service.m_name;
    // CheckIncarnationByName has checked the incarnation of a server with the
    // same name.
    if (same_service && before.m_server->m_name == server.m_name)
      return;
    CheckIncarnation(
        server, *before.m_server, !same_service, path,
        "the server's address belonged to service " + before.m_service->m_name);
  }

  void CheckIncarnation(const BackendServer& server,
                        const BackendServer& before,
                        bool must_increase,
                        const std::string& path,
                        const std::string& reason) {
    const std::uint64_t minimum =
        before.m_incarnation + (must_increase ? 1 : 0);
    if (server.m_incarnation >= minimum)
      return;
    Report(ProblemKind::kIncarnation, path + ".incarnation",
           must_increase
               ? fmt::format("the incarnation must be at least {}: {}", minimum,
                             reason)
               : fmt::format("the incarnation was {} and must not decrease",
                             minimum));
  }

  // Balancers drop packets to an address that no service has.
  void WarnOfServiceAddressChanges() {
    for (const Service& before : m_previous.m_services) {
      const auto& services = m_next.m_services;
      const bool is_kept =
          std::ranges::find(services, before.m_name, &Service::m_name) !=
          services.end();
      const bool is_address_unused =
          std::ranges::find(services, before.m_address, &Service::m_address) ==
          services.end();
      if (!is_kept || !is_address_unused)
        continue;
      Report(
          ProblemKind::kDrainFirst, PathInNext(before.m_name) + ".address",
          fmt::format("service {} no longer has the address {}, which breaks "
                      "its flows",
                      before.m_name, ToString(before.m_address)));
    }
  }

  void WarnOfRemovals() {
    std::set<base::Ipv4Address> kept;
    for (const Service& service : m_next.m_services) {
      for (const BackendServer& server : service.m_backend_servers)
        kept.insert(server.m_address.m_address);
    }
    for (const Service& service : m_previous.m_services) {
      for (const BackendServer& server : service.m_backend_servers) {
        if (server.m_state == BackendServerState::kActive &&
            !kept.contains(server.m_address.m_address))
          Report(ProblemKind::kDrainFirst, PathInNext(service.m_name),
                 fmt::format("the active backend server {} of service {} is "
                             "removed, which breaks its flows; drain the "
                             "server first",
                             server.m_name, service.m_name));
      }
    }
  }

  std::string PathInNext(const std::string& service_name) const {
    const auto found =
        std::ranges::find(m_next.m_services, service_name, &Service::m_name);
    if (found == m_next.m_services.end())
      return "services";
    const auto index = found - m_next.m_services.begin();
    return ServicePath(static_cast<std::size_t>(index));
  }

  void Report(ProblemKind kind, std::string path, std::string message) {
    AddProblem(m_problems, {kind, std::move(path), std::move(message), {}});
  }

  const Document& m_previous;
  const Document& m_next;
  Problems m_problems;
  std::map<base::Endpoint, const Service*> m_services_by_address;
  std::map<std::pair<std::string, std::string>, ServerOfService>
      m_servers_by_name;
  std::map<base::Ipv4Address, ServerOfService> m_servers_by_address;
};

}  // namespace

bool HasError(const Problems& problems) {
  return !std::ranges::all_of(problems, &Problem::IsWarning);
}

Problems Validate(const Document& document) {
  return DocumentValidator(document).Run();
}

Problems ValidateReplacement(const Document& previous, const Document& next) {
  return ReplacementValidator(previous, next).Run();
}

}  // namespace configuration
