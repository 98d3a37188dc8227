// Probes backend servers: requests the health path at a server's address. The
// result shows whether a server accepts connections there, and whether the
// address now belongs to another server.

#ifndef SERVICES_EDGE_SERVER_PROBER_H_
#define SERVICES_EDGE_SERVER_PROBER_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "LibHttp/client.h"
#include "LibSteering/known_server.h"

namespace edge {

class ServerProber {
 public:
  using Callback = std::function<void(steering::ServerHandle server,
                                      steering::ProbeResult result)>;

  ServerProber(asio::io_context& context, Callback callback)
      : m_client(context), m_callback(std::move(callback)) {}
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;

  // Queries.
  // The number of probes since the start of the process.
  std::uint64_t Probes() const { return m_probes; }

  // Commands.
  // Calls the callback once, within a second.
  void Probe(const steering::KnownServer& server, std::string health_path);

 private:
  http::Client m_client;
  Callback m_callback;
  std::uint64_t m_probes = 0;
};

}  // namespace edge

#endif  // SERVICES_EDGE_SERVER_PROBER_H_
