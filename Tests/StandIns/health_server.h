// The HTTP endpoints of a backend server: GET /health and GET /load.

#ifndef STANDINS_HEALTH_SERVER_H_
#define STANDINS_HEALTH_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"

namespace stand_ins {

class EventLoop;

class HealthServer {
 public:
  struct Response {
    bool m_healthy = true;
    std::string m_body;  // JSON
  };

  struct Handlers {
    std::function<Response()> m_health;
    std::function<std::string()> m_load;
  };

  // Listens on an ephemeral port of the address. `loop` must outlive the
  // server.
  static base::Outcome<std::unique_ptr<HealthServer>>
  Open(EventLoop* loop, base::Ipv4Address address, Handlers handlers);
  ~HealthServer();

  // Queries.
  base::Endpoint LocalEndpoint() const;

 private:
  class Implementation;

  explicit HealthServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace stand_ins

#endif  // STANDINS_HEALTH_SERVER_H_
