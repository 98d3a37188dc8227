// Serves a PlatformModel over HTTP with RESTinio.

#ifndef STANDINS_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_SERVER_H_

#include <memory>
#include <string>

#include "LibBase/ipv4.h"
#include "StandIns/Platform/platform_model.h"

namespace asio {
class io_context;
}  // namespace asio

namespace stand_ins {

class PlatformServer {
 public:
  // Binds to `endpoint`; port 0 takes a free one. Throws if it can't.
  PlatformServer(asio::io_context& context,
                 base::Endpoint endpoint,
                 PlatformRates rates);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Queries.
  base::Endpoint Listening() const;

  // Commands.
  // Carries out one command line, as "outage mode=refuse", and returns the
  // JSON line that answers it.
  std::string Execute(const std::string& line);

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace stand_ins

#endif  // STANDINS_PLATFORM_SERVER_H_
