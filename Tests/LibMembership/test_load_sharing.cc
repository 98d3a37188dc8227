#include <doctest/doctest.h>

#include "LibBase/random.h"
#include "LibMembership/load_publisher.h"
#include "LibMembership/member_snapshot.h"
#include "LibMembership/peer_load_table.h"
#include "LibPeer/codec.h"
#include "LibPeer/message.h"

namespace {

using base::BackendServerId;
using base::BalancerId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kPeers = 6;
constexpr std::size_t kIpAndUdpHeaderBytes = 28;

}  // namespace

TEST_CASE(
    "OpenFlowsOfPeers sums the latest counts and excludes removed members") {
  membership::PeerLoadTable load;
  load.Receive(BalancerId(1), {{{7, 100}, {8, 5}}});
  load.Receive(BalancerId(2), {{{7, 20}}});
  load.Receive(BalancerId(3), {{{7, 3}}});
  load.Receive(BalancerId(1), {{{7, 90}}});
  CHECK(load.OpenFlowsOfPeers(BackendServerId(7)) == 113);
  CHECK(load.OpenFlowsOfPeers(BackendServerId(0xFF00000007)) == 113);

  load.RemoveMember(BalancerId(2));
  load.RemoveMember(BalancerId(2));
  CHECK(load.OpenFlowsOfPeers(BackendServerId(7)) == 93);
  load.Retain(membership::MemberSnapshot({{BalancerId(3), {}}}));

  CHECK(load.OpenFlowsOfPeers(BackendServerId(7)) == 3);
  CHECK(load.OpenFlowsOfPeers(BackendServerId(8)) == 0);
}

TEST_CASE("the counts with the greatest change are published first") {
  membership::LoadPublisher publisher(kStart);
  for (std::uint32_t server = 1; server <= 100; ++server)
    publisher.SetOpenFlows(BackendServerId(server), server);

  const auto digest = publisher.Next(kPeers, kStart);

  REQUIRE(digest);
  REQUIRE(digest->m_entries.size() < 100);
  for (std::size_t at = 0; at < digest->m_entries.size(); ++at)
    CHECK(digest->m_entries[at] ==
          peer::LoadEntry{static_cast<std::uint32_t>(100 - at),
                          static_cast<std::uint16_t>(100 - at)});
}

TEST_CASE("load digests stay within the byte budget and deliver every count") {
  membership::LoadPublisher publisher(kStart);
  membership::PeerLoadTable load;
  base::Random random(9);
  constexpr std::uint32_t kServers = 19;
  constexpr int kSeconds = 60;
  std::vector<std::uint64_t> counts(kServers + 1, 0);
  std::size_t bytes = 0;

  for (base::TimePoint now = kStart; now < kStart + seconds(kSeconds);
       now += milliseconds(20)) {
    const auto server = 1 + random.Below(kServers);
    counts[server] = random.Below(2'000);
    publisher.SetOpenFlows(BackendServerId(server), counts[server]);
    const auto digest = publisher.Next(kPeers, now);
    if (!digest)
      continue;
    load.Receive(BalancerId(1), *digest);
    const auto frame =
        peer::Encode(peer::Transport::kDatagram, {{}, *digest, {}});
    bytes += kPeers * (frame.value().size() + kIpAndUdpHeaderBytes);
  }
  // All changes are published within seconds after the counts stop changing.
  for (const auto later : {seconds(1), seconds(2), seconds(3)}) {
    if (const auto digest =
            publisher.Next(kPeers, kStart + seconds(kSeconds) + later))
      load.Receive(BalancerId(1), *digest);
  }

  for (std::uint32_t server = 1; server <= kServers; ++server)
    CHECK(load.OpenFlowsOfPeers(BackendServerId(server)) == counts[server]);
  CHECK(static_cast<double>(bytes) / kSeconds <=
        membership::LoadPublisherSettings{}.m_bytes_per_second * 1.05);
}

TEST_CASE("unchanged counts are repeated for members that joined later") {
  membership::LoadPublisher publisher(kStart);
  publisher.SetOpenFlows(BackendServerId(4), 70'000);
  REQUIRE(publisher.Next(kPeers, kStart));
  CHECK_FALSE(publisher.Next(kPeers, kStart + seconds(1)));

  const auto repeated = publisher.Next(
      kPeers, kStart + membership::LoadPublisherSettings{}.m_repeat_period);

  REQUIRE(repeated);
  CHECK(repeated->m_entries == std::vector<peer::LoadEntry>{{4, 65'535}});
}

TEST_CASE(
    "a change is published at once, the next one after the minimum period") {
  membership::LoadPublisher publisher(kStart);
  CHECK_FALSE(publisher.Next(kPeers, kStart));

  publisher.SetOpenFlows(BackendServerId(1), 1);
  CHECK(publisher.HasChanges());
  REQUIRE(publisher.Next(kPeers, kStart));
  CHECK_FALSE(publisher.HasChanges());

  publisher.SetOpenFlows(BackendServerId(1), 2);
  CHECK_FALSE(publisher.Next(kPeers, kStart + milliseconds(49)));
  CHECK(publisher.Next(kPeers, kStart + milliseconds(50)));
}

TEST_CASE(
    "constantly changing counts use the byte budget but do not exceed it") {
  constexpr int kSeconds = 60;
  const membership::LoadPublisherSettings settings;
  membership::LoadPublisher publisher(kStart);
  std::size_t bytes = 0;

  for (int step = 0; step < kSeconds * 1000; ++step) {
    publisher.SetOpenFlows(BackendServerId(1 + step % 19), step);
    const auto digest = publisher.Next(kPeers, kStart + milliseconds(step));
    if (!digest)
      continue;
    const auto frame =
        peer::Encode(peer::Transport::kDatagram, {{}, *digest, {}});
    bytes += kPeers * (frame.value().size() + kIpAndUdpHeaderBytes);
  }

  const double budget = kSeconds * settings.m_bytes_per_second;
  CHECK(bytes <= budget + settings.m_burst_bytes);
  CHECK(bytes >= 0.9 * budget);
}

TEST_CASE("bytes sent besides digests are deducted from the budget") {
  constexpr double kBytesPerSecond = 3'700;
  constexpr std::uint64_t kOtherBytes = 24;
  constexpr int kSeconds = 60;
  membership::LoadPublisher publisher(
      kStart, {.m_bytes_per_second = kBytesPerSecond, .m_burst_bytes = 3'000});
  base::Random random(9);
  double sent = 0;
  for (milliseconds at{0}; at < seconds(kSeconds); at += milliseconds(20)) {
    publisher.CountOtherBytes(kOtherBytes);
    sent += kOtherBytes;
    for (std::uint32_t server = 1; server <= 19; ++server)
      publisher.SetOpenFlows(BackendServerId(server), random.Below(1000));
    const auto digest = publisher.Next(kPeers, kStart + at);
    if (!digest)
      continue;
    const auto frame =
        peer::Encode(peer::Transport::kDatagram, {{}, *digest, {}});
    REQUIRE(frame);
    sent += static_cast<double>(kPeers *
                                (frame.value().size() + kIpAndUdpHeaderBytes));
  }
  CHECK(sent <= kBytesPerSecond * kSeconds + 3'000);
  CHECK(sent >= 0.9 * kBytesPerSecond * kSeconds);
}

TEST_CASE(
    "a changed count does not wait until the budget covers all repetitions") {
  membership::LoadPublisher publisher(kStart);
  const membership::LoadPublisherSettings settings;
  constexpr std::uint32_t kServers = 64;
  for (std::uint32_t server = 1; server <= kServers; ++server)
    publisher.SetOpenFlows(BackendServerId(server), 1);
  REQUIRE(publisher.Next(kPeers, kStart)->m_entries.size() == kServers);
  // Spends the budget just before all counts are due to be repeated.
  const auto late = kStart + settings.m_repeat_period - milliseconds(100);
  for (std::uint32_t server = 1; server <= kServers; ++server)
    publisher.SetOpenFlows(BackendServerId(server), 2);
  REQUIRE(publisher.Next(kPeers, late)->m_entries.size() == kServers);
  const auto repeat_at = late + settings.m_repeat_period;
  publisher.SetOpenFlows(BackendServerId(1), 3);
  REQUIRE(publisher.Next(kPeers, repeat_at - milliseconds(1)));
  publisher.SetOpenFlows(BackendServerId(2), 9);

  const auto digest = publisher.Next(kPeers, repeat_at + milliseconds(50));

  REQUIRE(digest);
  CHECK(digest->m_entries.front() == peer::LoadEntry{2, 9});
}

TEST_CASE("RetainServers removes other servers and keeps the retained counts") {
  membership::LoadPublisher publisher(kStart);
  membership::PeerLoadTable load;
  for (std::uint32_t server = 1; server <= 1'000; ++server) {
    publisher.SetOpenFlows(BackendServerId(server), server);
    load.Receive(BalancerId(1), {{{server, 5}}});
    load.Receive(BalancerId(2), {{{server, 6}}});
    publisher.RetainServers({server - 1, server});
    load.RetainServers({server - 1, server});
  }

  CHECK(publisher.ServerCount() == 2);
  CHECK(load.ServerCount() == 2);
  CHECK(load.OpenFlowsOfPeers(BackendServerId(998)) == 0);
  CHECK(load.OpenFlowsOfPeers(BackendServerId(999)) == 11);
  const auto digest = publisher.Next(kPeers, kStart);
  REQUIRE(digest);
  CHECK(digest->m_entries ==
        std::vector<peer::LoadEntry>{{1'000, 1'000}, {999, 999}});
  load.RemoveMember(BalancerId(1));
  CHECK(load.OpenFlowsOfPeers(BackendServerId(999)) == 6);
  load.Receive(BalancerId(2), {{{999, 0}, {1'000, 0}}});
  CHECK(load.ServerCount() == 0);
}
