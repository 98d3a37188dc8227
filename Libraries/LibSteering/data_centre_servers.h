// The servers of one service in one data centre: those that may get openings,
// and sums over all of them that are updated on each change. An opening or an
// answer then need not visit every server.

#ifndef LIBSTEERING_DATA_CENTRE_SERVERS_H_
#define LIBSTEERING_DATA_CENTRE_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/random.h"

namespace steering {

struct KnownServer;

class DataCentreServers {
 public:
  DataCentreServers() = default;
  // The entries of the servers point to this object.
  DataCentreServers(const DataCentreServers&) = delete;
  DataCentreServers& operator=(const DataCentreServers&) = delete;

  // Queries.
  std::size_t Registered() const { return m_registered; }
  std::size_t Ready() const { return m_ready; }
  // The number of ready servers that do not count as unreachable.
  std::size_t Placeable() const { return m_placeable.size(); }
  std::uint64_t Requests() const { return m_requests; }
  // Without the requests at unreachable servers.
  std::uint64_t ReachableRequests() const { return m_reachable_requests; }
  std::uint64_t Slots() const { return m_slots; }
  // Adds `count` different placeable servers to `sample`, or all if there are
  // fewer. Half of them have no request in progress, if there are as many, so
  // that one idle server among thousands is found. The other half have
  // requests: all idle servers may be avoided for another reason, such as
  // unanswered requests. Within each half, each server has the same
  // probability.
  void Sample(std::size_t count,
              base::Random& random,
              std::vector<KnownServer*>& sample) const;

  // Commands.
  void Add(KnownServer& server);
  void Remove(KnownServer& server);
  // Brings the sums and the list up to date after a change of the state,
  // reachability, slots or requests in progress of `server`.
  void Update(KnownServer& server);

 private:
  void Subtract(const KnownServer& server);
  void List(KnownServer& server);
  void Unlist(KnownServer& server);
  void Swap(std::size_t left, std::size_t right);
  // Adds `count` of the placeable servers in [begin, end) to `sample`.
  void SamplePart(std::size_t begin,
                  std::size_t end,
                  std::size_t count,
                  base::Random& random,
                  std::vector<KnownServer*>& sample) const;

  // The servers without a request in progress come first.
  std::vector<KnownServer*> m_placeable;
  std::size_t m_idle = 0;
  std::size_t m_registered = 0;
  std::size_t m_ready = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_reachable_requests = 0;
  std::uint64_t m_slots = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_DATA_CENTRE_SERVERS_H_
