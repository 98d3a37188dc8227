// Probes whether backend servers can be reached: opens a TCP connection to
// where the server answers health checks, and closes it without a request, so
// that the probe takes no slot.

#ifndef SERVICES_EDGE_SERVER_PROBER_H_
#define SERVICES_EDGE_SERVER_PROBER_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

#include "LibBase/ipv4.h"
#include "LibSteering/ids.h"

namespace edge {

class ServerProber {
 public:
  using Callback =
      std::function<void(steering::ServerSlot server, bool is_answered)>;

  ServerProber(asio::io_context& context, Callback callback)
      : m_context(context), m_callback(std::move(callback)) {}
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;

  // Queries.
  std::uint64_t Probes() const { return m_probes; }

  // Commands.
  // Calls back once, after kTimeout at the latest.
  void Probe(steering::ServerSlot server, base::Endpoint endpoint);

 private:
  struct Attempt;

  void Finish(Attempt& attempt, bool is_answered);

  asio::io_context& m_context;
  Callback m_callback;
  std::uint64_t m_probes = 0;
};

}  // namespace edge

#endif  // SERVICES_EDGE_SERVER_PROBER_H_
