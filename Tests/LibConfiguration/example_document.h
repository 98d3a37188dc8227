// A valid document for tests to modify.

#ifndef TESTS_LIBCONFIGURATION_EXAMPLE_DOCUMENT_H_
#define TESTS_LIBCONFIGURATION_EXAMPLE_DOCUMENT_H_

#include <string>

#include "LibConfiguration/document.h"

namespace configuration {

inline BackendServer MakeServer(const std::string& name, std::uint32_t host) {
  BackendServer server;
  server.m_name = name;
  server.m_data_centre = base::DataCentreId("uppsala");
  server.m_address = {base::Ipv4Address(0x7f100000U + host), 5555};
  server.m_health = {base::Ipv4Address(0x7f100000U + host), 8080};
  server.m_slots = 3;
  server.m_connections = 2000;
  return server;
}

inline Service MakeService(const std::string& name, std::uint32_t host) {
  Service service;
  service.m_name = name;
  service.m_address = {base::Ipv4Address(0x7f400000U + host), 443};
  return service;
}

// Returns a document with the service licence, which has the servers tap-1 and
// tap-2, and the service dossier, which has the server file-1.
inline Document MakeDocument() {
  Document document;
  document.m_submission = {"first", base::ConfigurationVersion(7)};
  document.m_services = {MakeService("licence", 1), MakeService("dossier", 2)};
  document.m_services[0].m_backend_servers = {MakeServer("tap-1", 1),
                                              MakeServer("tap-2", 2)};
  document.m_services[1].m_backend_servers = {MakeServer("file-1", 3)};
  return document;
}

}  // namespace configuration

#endif  // TESTS_LIBCONFIGURATION_EXAMPLE_DOCUMENT_H_
