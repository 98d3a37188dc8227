// Starts the platform stand-in and sends it requests.

#ifndef TESTS_INTEGRATION_PLATFORM_CONTROL_H_
#define TESTS_INTEGRATION_PLATFORM_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "LibBase/ipv4.h"

namespace integration {

class ChildProcess;

class PlatformControl {
 public:
  PlatformControl();
  ~PlatformControl();
  PlatformControl(const PlatformControl&) = delete;
  PlatformControl& operator=(const PlatformControl&) = delete;

  base::Endpoint endpoint() const { return m_endpoint; }

  // Sends a POST request to "/standin/" + `path` and returns the response's
  // body. Throws a HarnessError unless the status is 200.
  std::string Post(const std::string& path);
  // Replaces version `expected` of the configuration document. Returns the new
  // version, or zero if the platform refused the write or its response was
  // lost.
  std::uint64_t PutDocument(const std::string& body, std::uint64_t expected);
  std::uint64_t DocumentVersion();

 private:
  std::unique_ptr<ChildProcess> m_process;
  base::Endpoint m_endpoint;
};

}  // namespace integration

#endif  // TESTS_INTEGRATION_PLATFORM_CONTROL_H_
