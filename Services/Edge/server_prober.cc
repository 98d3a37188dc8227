#include "server_prober.h"

#include <chrono>

#include "LibHttp/error.h"
#include "platform/names.h"

namespace edge {

namespace {

// A busy server responds once a slot is free. A server that accepts the
// connection but doesn't respond in this time still counts as reachable.
constexpr base::Duration kResponseTimeout = std::chrono::milliseconds(220);

steering::ProbeResult ResultOf(const steering::ServerName& server,
                               const base::Outcome<http::Response>& response) {
  using steering::ProbeResult;
  if (!response) {
    const std::error_code error = response.error();
    if (http::MayHaveTakenEffect(error))
      return ProbeResult::kAnswered;
    return error == http::Error::kConnectFailed ? ProbeResult::kSilent
                                                : ProbeResult::kNotSent;
  }
  const auto name =
      http::FindHeader(response.value().m_headers, adapter::kServerNameField);
  return name && *name != server.value() ? ProbeResult::kOtherServer
                                         : ProbeResult::kAnswered;
}

}  // namespace

void ServerProber::Probe(const steering::KnownServer& server,
                         std::string health_path) {
  ++m_probes;
  http::Request request;
  request.m_endpoint = server.m_record.m_endpoint;
  request.m_path = health_path.empty() ? "/" : std::move(health_path);
  request.m_connect_timeout = server.m_reachability.NextProbeTimeout();
  request.m_timeout = request.m_connect_timeout + kResponseTimeout;
  m_client.Send(request,
                [this, handle = server.m_handle, name = server.m_record.m_name,
                 former_bytes = m_received_bytes()](
                    const base::Outcome<http::Response>& response) {
                  m_callback(handle, ResultOf(name, response),
                             m_received_bytes() - former_bytes);
                });
}

}  // namespace edge
