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
  // `received_bytes` are the bytes of response bodies that the balancer
  // received during the probe.
  using Callback = std::function<void(steering::ServerHandle server,
                                      steering::ProbeResult result,
                                      std::uint64_t received_bytes)>;
  // Returns the bytes of response bodies that the balancer has received since
  // the start of the process.
  using ByteCounter = std::function<std::uint64_t()>;

  ServerProber(asio::io_context& context,
               ByteCounter received_bytes,
               Callback callback)
      : m_client(context),
        m_received_bytes(std::move(received_bytes)),
        m_callback(std::move(callback)) {}
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
  ByteCounter m_received_bytes;
  Callback m_callback;
  std::uint64_t m_probes = 0;
};

}  // namespace edge

#endif  // SERVICES_EDGE_SERVER_PROBER_H_
