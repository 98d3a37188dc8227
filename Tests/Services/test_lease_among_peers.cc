// Leases of all balancers of a data centre in simulated time. All have the same
// version in force. A balancer that was paused does not know whether a newer
// version took effect meanwhile. If paused balancers confirmed their version to
// each other after they resume, they would forward by a configuration that may
// be outdated.

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "LibMembership/simulated_network.h"
#include "configuration_lease.h"
#include "lease_evidence.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMembers = 6;
constexpr base::ConfigurationVersion kVersion(3);
constexpr base::Duration kRenewPeriod = milliseconds(50);
constexpr std::uint64_t kSeeds = 20;

// The members of one data centre in a simulated network, each with its lease.
// The constructor runs the members until every one holds its lease.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(std::uint64_t seed, std::size_t members = kMembers)
      : m_network(seed),
        m_leases(members, service::ConfigurationLease(seconds(2))) {
    for (std::uint32_t address = 1; address <= members; ++address)
      Member(m_network.Start(address)).Serve();
    m_network.SendVmList(m_network.MakeVmList());
    for (std::size_t index = 0; index < members; ++index)
      Confirm(index);
    Run(seconds(3));
    for (std::size_t index = 0; index < members; ++index)
      REQUIRE(HoldsLease(index));
  }

  // Queries.
  bool HoldsLease(std::size_t index) {
    return m_network.Now() < m_expires[index];
  }
  std::size_t CountHolders(const std::vector<std::size_t>& indexes) {
    std::size_t holders = 0;
    for (const std::size_t index : indexes)
      holders += HoldsLease(index) ? 1 : 0;
    return holders;
  }

  // Commands.
  // The platform confirms to the member that its version is the newest.
  void Confirm(std::size_t index) {
    Member(index).SetConfiguration(kVersion, m_network.Now());
  }
  void Kill(std::size_t index) { m_network.At(index).m_is_running = false; }
  // Pauses members. Messages to them are lost until they resume.
  void Suspend(const std::vector<std::size_t>& indexes) {
    for (const std::size_t index : indexes) {
      m_network.At(index).m_is_paused = true;
      m_network.At(index).m_partition = kSuspendedPartition;
    }
  }
  // Resumes members in a network partition. Members exchange messages only
  // within one partition.
  void Resume(const std::vector<std::size_t>& indexes, int partition = 0) {
    for (const std::size_t index : indexes) {
      m_network.At(index).m_is_paused = false;
      m_network.At(index).m_partition = partition;
    }
  }
  void Run(base::Duration duration) {
    for (auto end = m_network.Now() + duration; m_network.Now() < end;) {
      m_network.Run(kRenewPeriod);
      for (std::size_t index = 0; index < m_network.Size(); ++index)
        Renew(index);
    }
  }

 private:
  // The partition of suspended members. No test resumes members in it.
  static constexpr int kSuspendedPartition = 9;

  membership::Membership& Member(std::size_t index) {
    return *m_network.At(index).m_membership;
  }

  // Renews the lease of a running member if the evidence suffices.
  void Renew(std::size_t index) {
    const auto& node = m_network.At(index);
    if (node.m_is_paused || !node.m_is_running)
      return;
    service::ConfigurationLease& lease = m_leases[index];
    const base::TimePoint now = m_network.Now();
    const auto expires =
        lease.Renew(service::CollectLeaseEvidence(
                        Member(index), lease.MaximumEvidenceAge(), now),
                    now);
    if (!expires)
      return;
    m_expires[index] = *expires;
    Member(index).SetLease(*expires);
  }

  SimulatedNetwork m_network;
  std::vector<service::ConfigurationLease> m_leases;
  std::map<std::size_t, base::TimePoint> m_expires;
};

const std::vector<std::size_t> kAll = {0, 1, 2, 3, 4, 5};

}  // namespace

TEST_CASE("members that resume together do not renew each other's leases") {
  for (const std::vector<std::size_t>& resumed :
       {std::vector<std::size_t>{1, 4}, {0, 2, 3}, {0, 1, 2, 3}}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      LeaseSimulation simulation(seed);

      simulation.Suspend(resumed);
      simulation.Run(seconds(10));
      simulation.Resume(resumed, 1);
      for (int step = 0; step < 600; ++step) {
        simulation.Run(kRenewPeriod);
        REQUIRE_MESSAGE(simulation.CountHolders(resumed) == 0, "seed ", seed);
      }

      simulation.Confirm(resumed.front());
      simulation.Run(seconds(2));
      CHECK_MESSAGE(simulation.CountHolders(resumed) == resumed.size(), "seed ",
                    seed);
    }
  }
}

TEST_CASE(
    "resumed members regain their leases from members that hold a lease") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseSimulation simulation(seed);

    simulation.Suspend({1, 2, 3, 4, 5});
    simulation.Run(milliseconds(1000));
    simulation.Resume({1});
    simulation.Run(seconds(10));
    CHECK_MESSAGE(simulation.CountHolders({0, 1}) == 2, "seed ", seed);
    simulation.Resume({2, 3, 4, 5});
    simulation.Run(seconds(2));

    CHECK_MESSAGE(simulation.CountHolders(kAll) == kMembers, "seed ", seed);
  }
}

TEST_CASE("members regain their leases if all of the data centre was paused") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseSimulation simulation(seed);

    simulation.Suspend(kAll);
    simulation.Run(seconds(10));
    simulation.Resume(kAll);
    simulation.Run(seconds(3));

    CHECK_MESSAGE(simulation.CountHolders(kAll) == kMembers, "seed ", seed);
  }
}

TEST_CASE(
    "members keep their leases when others die and no platform confirms") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LeaseSimulation simulation(seed);

    for (const std::size_t index : {0, 2, 4})
      simulation.Kill(index);
    for (int step = 0; step < 1200; ++step) {
      simulation.Run(kRenewPeriod);
      REQUIRE_MESSAGE(simulation.CountHolders({1, 3, 5}) == 3, "seed ", seed);
    }
  }
}

TEST_CASE(
    "a lone balancer keeps its lease, but needs the platform after a pause") {
  LeaseSimulation simulation(1, 1);
  simulation.Run(seconds(60));
  CHECK(simulation.HoldsLease(0));

  simulation.Suspend({0});
  simulation.Run(seconds(10));
  simulation.Resume({0});
  simulation.Run(seconds(10));
  CHECK_FALSE(simulation.HoldsLease(0));
  simulation.Confirm(0);
  simulation.Run(kRenewPeriod);

  CHECK(simulation.HoldsLease(0));
}
