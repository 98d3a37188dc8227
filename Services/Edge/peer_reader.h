// Requests snapshots of the view of other balancers while this balancer can't
// read the store.

#ifndef SERVICES_EDGE_PEER_READER_H_
#define SERVICES_EDGE_PEER_READER_H_

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibCatalog/snapshot.h"
#include "LibHttp/client.h"

namespace edge {

// The path of the snapshot at a balancer's control endpoint.
inline constexpr std::string_view kSnapshotPath = "/snapshot";

class PeerReader {
 public:
  // Receives the snapshot, or the error of the request or of the decoder.
  using Callback = std::function<void(base::Endpoint peer,
                                      base::Outcome<catalog::Snapshot>)>;

  PeerReader(asio::io_context& context, Callback callback)
      : m_client(context), m_callback(std::move(callback)) {}
  PeerReader(const PeerReader&) = delete;
  PeerReader& operator=(const PeerReader&) = delete;

  // Queries.
  // The bytes of response bodies received so far, see http::Client.
  std::uint64_t ReceivedBodyBytes() const {
    return m_client.ReceivedBodyBytes();
  }

  // Commands.
  void SetPeers(std::vector<base::Endpoint> peers);
  // Requests the snapshot of the next peer in turn, unless a request is in
  // progress.
  void RequestSnapshot();

 private:
  http::Client m_client;
  Callback m_callback;
  std::vector<base::Endpoint> m_peers;
  std::size_t m_next_peer = 0;
};

}  // namespace edge

#endif  // SERVICES_EDGE_PEER_READER_H_
