#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "LibBase/hash.h"
#include "LibMembership/simulated_network.h"

namespace {

using base::ConfigurationVersion;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

membership::MemberSnapshot MakeSnapshot(std::size_t members) {
  std::vector<membership::SnapshotMember> list;
  for (std::uint64_t id = 1; id <= members; ++id)
    list.push_back({base::BalancerId(base::MixBits(id)), {}});
  return membership::MemberSnapshot(list);
}

}  // namespace

TEST_CASE("removing a member keeps the ranking of the others for every flow") {
  const auto before = MakeSnapshot(7);
  auto fewer = before.Members();
  const base::BalancerId removed = fewer[3].m_id;
  fewer.erase(fewer.begin() + 3);
  const membership::MemberSnapshot after(fewer);

  for (std::uint64_t flow = 0; flow < 1'000; ++flow) {
    auto expected = before.Rank(base::MixBits(flow), 7);
    CHECK(expected.size() == 7);
    expected.erase(std::find_if(
        expected.begin(), expected.end(),
        [&](const auto& member) { return member.m_id == removed; }));
    CHECK(after.Rank(base::MixBits(flow), 7) == expected);
  }
}

TEST_CASE("a ranking is limited by count, members and kMaximumRankedMembers") {
  CHECK(MakeSnapshot(0).Rank(1, 2).empty());
  CHECK(MakeSnapshot(5).Rank(1, 0).empty());
  CHECK(MakeSnapshot(1).Rank(1, 3).size() == 1);
  CHECK(MakeSnapshot(50).Rank(1, 50).size() ==
        membership::kMaximumRankedMembers);
}

TEST_CASE("a balancer that never had peers is not isolated") {
  SimulatedNetwork network(1);
  auto& lone = *network.At(network.Start(1)).m_membership;
  lone.Serve();

  network.Run(seconds(10));

  CHECK(lone.LiveMembers().size() == 1);
  CHECK_FALSE(lone.IsIsolated(network.Now(), seconds(1)));
}

TEST_CASE("a balancer whose peers all left by plan is not isolated") {
  SimulatedNetwork network(2);
  for (std::uint32_t address : {1, 2, 3})
    network.At(network.Start(address)).m_membership->Serve();
  network.SendVmList(network.MakeVmList());
  network.Run(seconds(2));

  for (const std::size_t index : {1, 2}) {
    network.At(index).m_membership->Leave();
    network.Run(seconds(1));
    network.At(index).m_is_running = false;
  }
  network.Run(seconds(10));

  CHECK_FALSE(
      network.At(0).m_membership->IsIsolated(network.Now(), seconds(1)));
}

TEST_CASE(
    "a balancer is isolated while the VM list contains its killed peers") {
  SimulatedNetwork network(3);
  for (std::uint32_t address : {1, 2, 3})
    network.At(network.Start(address)).m_membership->Serve();
  network.SendVmList(network.MakeVmList());
  network.Run(seconds(2));
  const auto& survivor = *network.At(0).m_membership;

  network.At(1).m_is_running = false;
  network.At(2).m_is_running = false;
  network.Run(std::chrono::minutes(30));

  CHECK(survivor.IsIsolated(network.Now(), seconds(1)));
  network.SendVmList(network.MakeVmList());
  CHECK_FALSE(survivor.IsIsolated(network.Now(), seconds(1)));
}

TEST_CASE("peers learn of a confirmation by the platform from one another") {
  SimulatedNetwork network(4);
  for (std::uint32_t address = 1; address <= 7; ++address) {
    auto& member = *network.At(network.Start(address)).m_membership;
    member.Serve();
    member.SetConfiguration(ConfigurationVersion(5), std::nullopt);
  }
  network.SendVmList(network.MakeVmList());
  network.Run(seconds(2));

  const base::TimePoint confirmed_at = network.Now();
  network.At(0).m_membership->SetConfiguration(ConfigurationVersion(5),
                                               confirmed_at);
  network.Run(seconds(2));

  for (std::size_t index = 0; index < network.Size(); ++index) {
    const auto newest =
        network.At(index).m_membership->NewestKnownConfiguration(network.Now());
    REQUIRE(newest.m_confirmation_age);
    CHECK(*newest.m_confirmation_age >= network.Now() - confirmed_at);
    CHECK(*newest.m_confirmation_age <=
          network.Now() - confirmed_at + milliseconds(500));
  }
}

TEST_CASE("all data centres learn of a newer version within 4 s") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulatedNetwork network(seed);
    network.m_loss = 0.1;
    for (std::uint32_t address = 0; address < 28; ++address) {
      const auto index =
          network.Start(address, "zone-" + std::to_string(address % 4));
      network.At(index).m_membership->Serve();
    }
    network.SendVmList(network.MakeVmList());
    network.Run(seconds(3));

    network.At(2).m_membership->SetConfiguration(ConfigurationVersion(8),
                                                 network.Now());
    // Each member puts a newer version in force as soon as a peer reports the
    // version, as if the member had pulled its document.
    const auto is_known_everywhere = [&] {
      std::size_t informed = 0;
      for (std::size_t index = 0; index < network.Size(); ++index) {
        auto& member = *network.At(index).m_membership;
        const auto newest = member.NewestKnownConfiguration(network.Now());
        member.SetConfiguration(newest.m_version, std::nullopt);
        informed +=
            newest.m_source && newest.m_version == ConfigurationVersion(8);
      }
      return informed == network.Size();
    };

    CHECK_MESSAGE(
        network.RunUntil(is_known_everywhere, seconds(10)) <= seconds(4),
        "seed ", seed);
  }
}

TEST_CASE(
    "an Ack counts from the time of its ping, also after a pause of the "
    "process") {
  peer::MemberRecord self;
  self.m_id = base::BalancerId(1);
  self.m_data_centre = base::DataCentreId("north");
  self.m_peer = {base::Ipv4Address(1), 7'000};
  membership::Membership member({}, self, kStart);
  peer::MemberRecord other = self;
  other.m_id = base::BalancerId(2);
  other.m_peer = {base::Ipv4Address(2), 7'000};
  other.m_state = peer::MemberState::kServing;
  member.SetConfiguration(ConfigurationVersion(3), std::nullopt);
  const peer::SenderStatus status{other.m_id,
                                  other.m_state,
                                  0,
                                  {ConfigurationVersion(3), milliseconds(100)},
                                  0};
  base::Random random(1);
  member.ReceiveMessage(other.m_peer, {status, peer::Heartbeat{}, {other}},
                        kStart);
  std::uint32_t sequence = 0;
  for (const auto& effect : member.Advance(kStart, random)) {
    if (const auto* send = std::get_if<membership::SendMessage>(&effect)) {
      if (const auto* ping = std::get_if<peer::Ping>(&send->m_message.m_body))
        sequence = ping->m_sequence;
    }
  }
  REQUIRE(sequence != 0);

  const base::TimePoint resumed_at = kStart + seconds(60);
  CHECK(member.TimeSinceAdvance(resumed_at) == seconds(60));
  member.ReceiveMessage(other.m_peer, {status, peer::Ack{sequence}, {}},
                        resumed_at);

  CHECK(member.IsIsolated(resumed_at, seconds(2)));
  CHECK(*member.NewestKnownConfiguration(resumed_at).m_confirmation_age ==
        milliseconds(60'100));
}

TEST_CASE(
    "a ping out of turn fetches the confirmation age of the pinged member") {
  SimulatedNetwork network(7);
  for (std::uint32_t address : {1, 2}) {
    auto& member = *network.At(network.Start(address)).m_membership;
    member.Serve();
    member.SetConfiguration(ConfigurationVersion(5), std::nullopt);
  }
  network.SendVmList(network.MakeVmList());
  network.Run(seconds(2));
  auto& pinging = *network.At(0).m_membership;
  auto& pinged = *network.At(1).m_membership;
  // Wait until a regular ping was sent at most 20 ms ago, so that no further
  // one is due while the ping out of turn is acknowledged.
  while (*pinging.LatestAckTimes().m_from_all_peers + milliseconds(20) <
         network.Now())
    network.Run(milliseconds(10));
  pinged.SetConfiguration(ConfigurationVersion(5), network.Now());

  pinging.Ping(pinged.Self().m_id, network.Now());
  network.Run(milliseconds(30));

  CHECK(pinging.NewestKnownConfiguration(network.Now()).m_confirmation_age);
}
