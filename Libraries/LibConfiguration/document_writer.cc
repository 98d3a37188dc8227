#include "LibConfiguration/document_writer.h"

#include <fmt/format.h>

namespace configuration {

namespace {

// This file writes names in quotation marks: without them, YAML would read
// names such as "null" and "1" as other types than text. Names need no
// escaping: they contain only letters, digits, '-', '_' and '.'.

std::string WriteSubmissions(const Document& document) {
  std::string text;
  if (!document.m_submission.m_id.empty())
    text = fmt::format("submission: \"{}\"\nbase_version: {}\n",
                       document.m_submission.m_id,
                       document.m_submission.m_base_version.value());
  if (document.m_previous_submissions.empty())
    return text + "previous_submissions: []\n";
  text += "previous_submissions:\n";
  for (const SubmissionEntry& entry : document.m_previous_submissions)
    text += fmt::format("  - submission: \"{}\"\n    base_version: {}\n",
                        entry.m_id, entry.m_base_version.value());
  return text;
}

std::string WriteRules(const Service& service) {
  return fmt::format(
      "    placement:\n"
      "      candidates: {}\n"
      "      imbalance_weight: {}\n"
      "    objective:\n"
      "      broken_flows: {}\n"
      "      refused_openings: {}\n"
      "      wait_ms: {}\n"
      "    limits:\n"
      "      retry_budget_percent: {}\n"
      "      opening_deadline_ms: {}\n",
      service.m_placement.m_candidates, service.m_placement.m_imbalance_weight,
      service.m_objective.m_broken_flows,
      service.m_objective.m_refused_openings,
      service.m_objective.m_wait.count(),
      service.m_limits.m_retry_budget_percent,
      service.m_limits.m_opening_deadline.count());
}

std::string WriteBackendServer(const BackendServer& server) {
  return fmt::format(
      "      - name: \"{}\"\n"
      "        data_centre: \"{}\"\n"
      "        address: {}\n"
      "        health: {}\n"
      "        slots: {}\n"
      "        connections: {}\n"
      "        state: {}\n"
      "        incarnation: {}\n",
      server.m_name, server.m_data_centre.value(), ToString(server.m_address),
      ToString(server.m_health), server.m_slots, server.m_connections,
      NameOf(kBackendServerStateNames, server.m_state), server.m_incarnation);
}

std::string WriteService(const Service& service) {
  std::string text = fmt::format("  - name: \"{}\"\n    address: {}\n",
                                 service.m_name, ToString(service.m_address));
  text += WriteRules(service);
  if (service.m_backend_servers.empty())
    return text + "    backend_servers: []\n";
  text += "    backend_servers:\n";
  for (const BackendServer& server : service.m_backend_servers)
    text += WriteBackendServer(server);
  return text;
}

}  // namespace

std::string WriteDocument(const Document& document) {
  std::string text = WriteSubmissions(document);
  if (document.m_services.empty())
    return text + "services: []\n";
  text += "services:\n";
  for (const Service& service : document.m_services)
    text += WriteService(service);
  return text;
}

}  // namespace configuration
