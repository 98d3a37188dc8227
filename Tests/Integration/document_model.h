// The configuration document that a test composes.

#ifndef TESTS_INTEGRATION_DOCUMENT_MODEL_H_
#define TESTS_INTEGRATION_DOCUMENT_MODEL_H_

#include <map>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"

namespace integration {

struct ServerModel {
  std::string m_data_centre;
  base::Endpoint m_tunnel;
  base::Endpoint m_health;
  int m_slots = 3;
  int m_connections = 2000;
  int m_incarnation = 1;
  bool m_is_draining = false;
};

struct ServiceModel {
  base::Endpoint m_address;
  // YAML lines for the service's other keys, for example
  // `limits: {retry_budget_percent: 5}`.
  std::vector<std::string> m_rules;
  // By name.
  std::map<std::string, ServerModel> m_servers;
};

struct DocumentModel {
  // By name.
  std::map<std::string, ServiceModel> m_services;

  // Returns the document as YAML, with the submission id `submission` unless
  // that is empty.
  std::string Render(const std::string& submission) const;
};

}  // namespace integration

#endif  // TESTS_INTEGRATION_DOCUMENT_MODEL_H_
