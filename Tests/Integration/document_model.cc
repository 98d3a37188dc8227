#include "document_model.h"

#include <sstream>

namespace integration {

std::string DocumentModel::Render(const std::string& submission) const {
  std::ostringstream text;
  if (!submission.empty())
    text << "submission: " << submission << "\n";
  text << "services:\n";
  for (const auto& [name, service] : m_services) {
    text << "  - name: " << name
         << "\n    address: " << base::ToString(service.m_address);
    for (const std::string& rule : service.m_rules)
      text << "\n    " << rule;
    text << "\n    backend_servers:"
         << (service.m_servers.empty() ? " []\n" : "\n");
    for (const auto& [server_name, server] : service.m_servers)
      text << "      - name: " << server_name
           << "\n        data_centre: " << server.m_data_centre
           << "\n        address: " << base::ToString(server.m_tunnel)
           << "\n        health: " << base::ToString(server.m_health)
           << "\n        slots: " << server.m_slots
           << "\n        connections: " << server.m_connections
           << "\n        incarnation: " << server.m_incarnation
           << "\n        state: "
           << (server.m_is_draining ? "draining" : "active") << "\n";
  }
  return text.str();
}

}  // namespace integration
