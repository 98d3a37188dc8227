// Selects which of this balancer's open-flow counts to publish to the other
// members, and when, within a byte budget. Counts are absolute, so the next
// digest corrects the effect of a lost or duplicated one.

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
  // The rate and the burst of the token bucket for the bytes that are sent to
  // all recipients together, including IP and UDP headers. Bytes that
  // CountOtherBytes records are deducted too.
  double m_bytes_per_second = 2'800;
  double m_burst_bytes = 3'000;
  // Minimum time between digests; changes within this time share one digest.
  // docs/PLACEMENT.md has the figures for this value.
  base::Duration m_minimum_period = std::chrono::milliseconds(50);
  // An unchanged count is published again after this time, for members that
  // joined since or missed the digest.
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
  // Whether a count differs from its last published value.
  bool HasChanges() const;
  // The number of servers with a count.
  std::size_t ServerCount() const { return m_counts.size(); }

  // Commands.
  // Sets the number of flows that this balancer has open on the server.
  void SetOpenFlows(base::BackendServerId server, std::uint64_t open_flows);
  // Removes the counts of all servers that are not in `servers`.
  void RetainServers(const ShortServerIds& servers);
  // Deducts bytes that were sent to peers besides digests from the budget. The
  // deficit is limited to one burst, so that digests soon resume.
  void CountOtherBytes(std::uint64_t bytes);
  // Returns the digest to send now to each of `recipients` members: the counts
  // with the greatest change first, then those published longest ago. Returns
  // nullopt if no count is due or the budget does not suffice. Changed counts
  // do not wait until the budget covers repetitions too.
  std::optional<peer::LoadDigest> Next(std::size_t recipients,
                                       base::TimePoint now);

 private:
  struct Count {
    std::uint16_t m_open_flows = 0;
    // The last published value of m_open_flows.
    std::uint16_t m_published = 0;
    std::optional<base::TimePoint> m_published_at;

    bool HasChanged() const {
      return !m_published_at || m_open_flows != m_published;
    }
  };
  // Keyed by short server id.
  using Counts = std::map<std::uint32_t, Count>;

  // Counts to publish now, in order of urgency.
  std::vector<Counts::iterator> DueCounts(base::TimePoint now);
  // The number of entries that the budget allows in a digest now; zero means to
  // wait until the budget allows more.
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
