// Decides which of the own open-connection counts to tell the other members,
// and when, within a budget of bytes. Counts are absolute, so that a lost or
// repeated digest does no lasting harm.

#ifndef LIBMEMBERSHIP_LOAD_PUBLISHER_H_
#define LIBMEMBERSHIP_LOAD_PUBLISHER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibMembership/short_server_id.h"
#include "LibPeer/load_digest.h"

namespace membership {

struct LoadPublisherSettings {
  // Mean bytes a second sent to all recipients together, headers of IP and UDP
  // included, and bytes that may be sent ahead of it. What is sent besides
  // digests and told by CountOtherBytes comes out of it too.
  double m_bytes_per_second = 2'800;
  double m_burst_bytes = 3'000;
  // Changes within this time go into one digest. docs/PLACEMENT.md has the
  // figures for it.
  base::Duration m_minimum_period = std::chrono::milliseconds(50);
  // An unchanged count is told again after this time, for members that came
  // since or missed it.
  base::Duration m_repeat_period = std::chrono::seconds(5);
};

class LoadPublisher {
 public:
  explicit LoadPublisher(base::TimePoint now,
                         const LoadPublisherSettings& settings = {})
      : m_settings(settings),
        m_tokens_bytes(settings.m_burst_bytes),
        m_refilled_at(now),
        m_next_at(now) {}

  // Queries.
  // Whether a count differs from what was told of it last.
  bool HasChanges() const;
  // The number of servers that counts are kept of.
  std::size_t ServerCount() const { return m_counts.size(); }

  // Commands.
  // Sets the number of flows that this balancer has open on the server.
  void SetOpenFlows(base::BackendServerId server, std::uint64_t open_flows);
  // Forgets the servers that are not among these.
  void RetainServers(const ShortServerIds& servers);
  // Counts bytes that were sent to peers besides digests. They are repaid for
  // one burst at most, so that digests never stop for long.
  void CountOtherBytes(std::uint64_t bytes);
  // Returns the digest to send now to each of `recipients` members: what
  // changed most first, then what was told longest ago. Nothing if nothing is
  // due or the budget does not allow it. A change does not wait until the
  // budget allows repetitions too.
  std::optional<peer::LoadDigest> Next(std::size_t recipients,
                                       base::TimePoint now);

 private:
  struct Count {
    std::uint16_t m_open_flows = 0;
    std::uint16_t m_published = 0;
    std::optional<base::TimePoint> m_published_at;

    bool HasChanged() const {
      return !m_published_at || m_open_flows != m_published;
    }
  };
  using Counts = std::map<std::uint32_t, Count>;

  std::vector<Counts::iterator> DueCounts(base::TimePoint now);
  // The entries of a digest that the budget allows now; zero to wait for more.
  std::size_t AffordableEntries(const std::vector<Counts::iterator>& due,
                                std::size_t recipients) const;
  void Refill(base::TimePoint now);

  LoadPublisherSettings m_settings;
  Counts m_counts;
  double m_tokens_bytes;
  base::TimePoint m_refilled_at;
  base::TimePoint m_next_at;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_LOAD_PUBLISHER_H_
