#include "peer_reader.h"

#include <chrono>
#include <string>
#include <utility>

#include "LibCatalog/snapshot_codec.h"

namespace edge {

namespace {

// A peer responds from memory. A peer that takes longer is down or cut off, and
// the next request goes to the next peer.
constexpr base::Duration kResponseTimeout = std::chrono::milliseconds(400);
constexpr std::uint16_t kHttpOk = 200;

}  // namespace

void PeerReader::SetPeers(std::vector<base::Endpoint> peers) {
  m_peers = std::move(peers);
  m_next_peer = 0;
}

void PeerReader::RequestSnapshot() {
  if (m_peers.empty() || m_client.OpenRequests() > 0)
    return;
  const base::Endpoint peer = m_peers[m_next_peer++ % m_peers.size()];
  http::Request request;
  request.m_endpoint = peer;
  request.m_path = std::string(kSnapshotPath);
  request.m_timeout = kResponseTimeout;
  request.m_connect_timeout = kResponseTimeout;
  request.m_response_limit_bytes = catalog::kMaximumSnapshotBytes;
  m_client.Send(
      request, [this, peer](const base::Outcome<http::Response>& response) {
        if (!response)
          m_callback(peer, response.error());
        else if (response.value().m_status != kHttpOk)
          m_callback(peer, std::make_error_code(
                               std::errc::resource_unavailable_try_again));
        else
          m_callback(peer, catalog::DecodeSnapshot(response.value().m_body));
      });
}

}  // namespace edge
