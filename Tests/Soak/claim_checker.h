// Compares what balancers claim to know of the store with the changes that the
// store has acknowledged. A view that is said to contain all changes made
// before a time, and lacks one, is a violation, whether or not a flow was
// harmed.

#ifndef TESTS_SOAK_CLAIM_CHECKER_H_
#define TESTS_SOAK_CLAIM_CHECKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibHttp/client.h"

namespace stand_ins {
class EventLoop;
}  // namespace stand_ins

namespace soak {

class EdgeFleet;
class InvariantChecker;

class ClaimChecker {
 public:
  // Asks the balancers of `fleet` for their claims from now on. The pointers
  // must outlive the checker.
  ClaimChecker(stand_ins::EventLoop* loop,
               InvariantChecker* checker,
               const EdgeFleet* fleet,
               std::uint64_t seed);
  ClaimChecker(const ClaimChecker&) = delete;
  ClaimChecker& operator=(const ClaimChecker&) = delete;

  // Queries.
  // The claims that named a time, and were compared.
  std::uint64_t Checked() const { return m_checked; }

  // Commands.
  // The store has acknowledged a change of the servers.
  void OnServersChanged(std::uint64_t era,
                        std::uint64_t revision,
                        base::TimePoint now);
  void OnManifestChanged(std::uint64_t version, base::TimePoint now);
  // The store has lost acknowledged changes.
  void OnStoreRestored();

 private:
  struct ServersChange {
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;
    base::TimePoint m_at;
  };
  struct ManifestChange {
    std::uint64_t m_version = 0;
    base::TimePoint m_at;
  };

  void RequestClaim();
  // `status` is the status page of a balancer, requested at `requested_at`.
  void Check(std::string_view status, base::TimePoint requested_at);

  stand_ins::EventLoop* m_loop;
  InvariantChecker* m_checker;
  const EdgeFleet* m_fleet;
  base::Random m_random;
  http::Client m_client;
  // In the order of time.
  std::vector<ServersChange> m_servers;
  std::vector<ManifestChange> m_manifests;
  std::uint64_t m_restores = 0;
  std::uint64_t m_checked = 0;
};

}  // namespace soak

#endif  // TESTS_SOAK_CLAIM_CHECKER_H_
