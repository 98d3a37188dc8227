// One member alone: its answers to single messages.

#include <doctest/doctest.h>

#include <chrono>

#include "LibFeed/feed_member.h"

namespace feed {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Ipv4Address kSelf(0x0A010001);
constexpr base::Ipv4Address kSeed(0x0A020001);
constexpr base::Ipv4Address kReader(0x0A010002);
const base::DataCentreId kHere("hall-1");

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

FeedSettings MakeSettings() {
  FeedSettings settings;
  settings.m_self = kSelf;
  settings.m_data_centre = kHere;
  settings.m_fleet = 7;
  settings.m_seeds = {kSeed};
  return settings;
}

StoreStatus MakeStatus(std::uint64_t servers, bool is_current = false) {
  StoreStatus status;
  status.m_is_current = is_current;
  status.m_servers = catalog::Revision(servers);
  status.m_manifest = catalog::Revision(servers == 0 ? 0 : 1);
  return status;
}

// The response of the current reader kReader to the request of `poll`.
FeedResponse MakeResponse(const FeedPoll& poll, std::uint64_t servers) {
  FeedResponse response;
  response.m_fleet = 7;
  response.m_number = poll.m_request.m_number;
  response.m_data_centre = kHere;
  response.m_is_reader = true;
  response.m_status = MakeStatus(servers, true);
  return response;
}

// Sends one poll and returns it.
FeedPoll PollOnce(FeedMember& member,
                  const StoreStatus& own,
                  base::TimePoint now) {
  const auto polls = member.Advance(own, now);
  REQUIRE(polls.size() == 1);
  return polls[0];
}

}  // namespace

TEST_CASE("a member without a reader asks a seed, then the reader it names") {
  FeedMember member(MakeSettings(), 1, At(0));
  const FeedPoll first = PollOnce(member, MakeStatus(5), At(0));
  CHECK(first.m_peer == kSeed);

  FeedResponse response = MakeResponse(first, 5);
  response.m_is_reader = false;
  response.m_status = MakeStatus(5);
  response.m_readers = {{kReader, kHere, true, milliseconds(10)}};
  CHECK(member.HandleResponse(kSeed, response, MakeStatus(5), At(5)) ==
        ResponseVerdict::kNotCurrent);

  bool has_asked_reader = false;
  for (int now = 300; now <= 900; now += 300)
    has_asked_reader |=
        PollOnce(member, MakeStatus(5), At(now)).m_peer == kReader;
  CHECK(has_asked_reader);
}

TEST_CASE("a response to no request of the member is not used") {
  FeedMember member(MakeSettings(), 1, At(0));
  const FeedPoll poll = PollOnce(member, MakeStatus(5), At(0));
  FeedResponse wrong_number = MakeResponse(poll, 9);
  ++wrong_number.m_number;
  FeedResponse other_fleet = MakeResponse(poll, 9);
  other_fleet.m_fleet = 8;
  const FeedResponse right = MakeResponse(poll, 9);

  for (const FeedResponse& response : {wrong_number, other_fleet})
    CHECK(member.HandleResponse(kSeed, response, MakeStatus(5), At(5)) ==
          ResponseVerdict::kUnsolicited);
  // From another address than the asked one.
  CHECK(member.HandleResponse(kReader, right, MakeStatus(5), At(5)) ==
        ResponseVerdict::kUnsolicited);
  CHECK(member.HandleResponse(kSeed, right, MakeStatus(5), At(5)) ==
        ResponseVerdict::kFetchChanges);
  // A second copy of the same response.
  CHECK(member.HandleResponse(kSeed, right, MakeStatus(5), At(6)) ==
        ResponseVerdict::kUnsolicited);
}

TEST_CASE("a member reads the store once no current reader responds") {
  FeedMember member(MakeSettings(), 1, At(0));
  const FeedPoll poll = PollOnce(member, MakeStatus(5), At(0));
  member.HandleResponse(kSeed, MakeResponse(poll, 5), MakeStatus(5), At(5));
  CHECK(member.IsFed(At(6)));
  CHECK_FALSE(member.ShouldReadStore(At(1900)));

  CHECK(member.ShouldReadStore(At(2100)));
  CHECK_FALSE(member.IsFed(At(2100)));
  CHECK_FALSE(member.IsReader());
  member.Advance(MakeStatus(5, true), At(2200));

  CHECK(member.IsReader());
  CHECK(member.LastRoleReason() == RoleReason::kNotFed);
}

TEST_CASE("a member whose readers lost the store soon reads it itself") {
  FeedSettings settings = MakeSettings();
  settings.m_outage_spread = milliseconds(300);
  FeedMember member(settings, 1, At(0));
  const FeedPoll first = PollOnce(member, MakeStatus(5), At(0));
  member.HandleResponse(kSeed, MakeResponse(first, 5), MakeStatus(5), At(5));
  const FeedPoll second = PollOnce(member, MakeStatus(5), At(700));
  FeedResponse not_current = MakeResponse(second, 5);
  not_current.m_status.m_is_current = false;

  CHECK(member.HandleResponse(second.m_peer, not_current, MakeStatus(5),
                              At(705)) == ResponseVerdict::kNotCurrent);

  CHECK(member.ShouldReadStore(At(705 + 300)));
  // Its timer does not wait for the next poll.
  CHECK(member.NextAdvanceAt(MakeStatus(5)) <= At(705 + 300));
}

TEST_CASE("a member asks the next current reader when one lost the store") {
  constexpr base::Ipv4Address kOtherReader(0x0A030001);
  FeedMember member(MakeSettings(), 1, At(0));
  const FeedPoll first = PollOnce(member, MakeStatus(5), At(0));
  FeedResponse response = MakeResponse(first, 5);
  response.m_readers = {
      {kOtherReader, base::DataCentreId("hall-2"), true, milliseconds(10)}};
  member.HandleResponse(kSeed, response, MakeStatus(5), At(5));
  const FeedPoll second = PollOnce(member, MakeStatus(5), At(700));
  FeedResponse not_current = MakeResponse(second, 5);
  not_current.m_status.m_is_current = false;
  member.HandleResponse(second.m_peer, not_current, MakeStatus(5), At(705));

  const FeedPoll third = PollOnce(member, MakeStatus(5), At(705));

  CHECK(third.m_peer != second.m_peer);
  CHECK_FALSE(member.ShouldReadStore(At(1500)));
}

TEST_CASE("a paused member does not rely on what it was told before") {
  FeedMember member(MakeSettings(), 1, At(0));
  const FeedPoll poll = PollOnce(member, MakeStatus(5), At(0));
  member.HandleResponse(kSeed, MakeResponse(poll, 5), MakeStatus(5), At(5));

  member.OnPaused(At(10));

  CHECK_FALSE(member.IsFed(At(10)));
  CHECK(member.ShouldReadStore(At(10)));
}

TEST_CASE("a current reader may be behind only until its watch returns") {
  FeedMember member(MakeSettings(), 1, At(0));
  const StoreStatus own = MakeStatus(9);
  bool was_fed_early = false;
  for (int now = 0; now < 12'000; now += 200) {
    for (const FeedPoll& poll : member.Advance(own, At(now)))
      CHECK(member.HandleResponse(poll.m_peer, MakeResponse(poll, 8), own,
                                  At(now + 2)) == ResponseVerdict::kBehind);
    was_fed_early |= now < 5'000 && member.IsFed(At(now + 5));
  }

  CHECK(was_fed_early);
  CHECK_FALSE(member.IsFed(At(12'000)));
  CHECK(member.ShouldReadStore(At(12'000)));
}

TEST_CASE("a reader's newer manifest is used though its servers are behind") {
  FeedMember member(MakeSettings(), 1, At(0));
  const StoreStatus own = MakeStatus(9);
  const FeedPoll poll = PollOnce(member, own, At(0));
  FeedResponse response = MakeResponse(poll, 8);
  response.m_status.m_manifest = catalog::Revision(2);

  CHECK(member.HandleResponse(poll.m_peer, response, own, At(2)) ==
        ResponseVerdict::kFetchChanges);
}

TEST_CASE("a seed asks members to read while a data centre lacks readers") {
  FeedSettings settings = MakeSettings();
  settings.m_is_seed = true;
  FeedMember seed(settings, 1, At(0));
  const base::DataCentreId other("hall-2");
  FeedRequest request;
  request.m_fleet = 7;
  request.m_data_centre = other;
  int asked = 0;
  for (std::uint32_t number = 0; number < 20; ++number) {
    const auto response = seed.HandleRequest(
        base::Ipv4Address(0x0A030000 + number), request, MakeStatus(5), At(10));
    REQUIRE(response);
    asked += response->m_should_read ? 1 : 0;
  }

  CHECK(asked == 2);
}

TEST_CASE(
    "a balancer that lists the store after a start does not fetch the same "
    "from "
    "a peer unless the store fails") {
  FeedMember member(MakeSettings(), 1, At(0));
  StoreStatus own;
  const auto ask = [&](int now) {
    const FeedPoll poll = PollOnce(member, own, At(now));
    return member.HandleResponse(poll.m_peer, MakeResponse(poll, 9), own,
                                 At(now + 2));
  };

  CHECK(ask(0) == ResponseVerdict::kListing);
  own.m_is_failing = true;
  CHECK(ask(210) == ResponseVerdict::kFetchChanges);
  own.m_is_failing = false;
  CHECK(ask(420) == ResponseVerdict::kListing);
  CHECK(ask(640) == ResponseVerdict::kFetchChanges);
}

// With 3,000 servers, 300 balancers that started together all fetched the view
// of a seed after 500 ms, although their own lists were half complete.
TEST_CASE("a long list that progresses is not replaced by the view of a peer") {
  FeedMember member(MakeSettings(), 1, At(0));
  StoreStatus own;
  const auto ask = [&](int now, int progress_age_ms) {
    own.m_list_progress_age = milliseconds(progress_age_ms);
    const FeedPoll poll = PollOnce(member, own, At(now));
    return member.HandleResponse(poll.m_peer, MakeResponse(poll, 9), own,
                                 At(now + 2));
  };

  CHECK(ask(900, 100) == ResponseVerdict::kListing);
  CHECK(ask(1600, 300) == ResponseVerdict::kListing);
  CHECK(ask(2300, 600) == ResponseVerdict::kFetchChanges);
}

// After the return of a data centre, balancers dropped packets of flows on
// servers that peers had known for up to a poll interval.
TEST_CASE(
    "a poll is sent at once if peers know more, but not for each packet") {
  FeedMember member(MakeSettings(), 1, At(0));
  const StoreStatus own = MakeStatus(5);
  const FeedPoll first = PollOnce(member, own, At(0));
  member.HandleResponse(kSeed, MakeResponse(first, 5), own, At(5));
  while (!member.Advance(own, At(10)).empty()) {
  }

  CHECK(member.RequestPoll(std::nullopt, At(20)));
  CHECK(member.Advance(own, At(20)).size() == 1);
  CHECK_FALSE(member.RequestPoll(std::nullopt, At(119)));
  CHECK(member.Advance(own, At(119)).empty());
  CHECK(member.RequestPoll(std::nullopt, At(120)));
  CHECK(member.Advance(own, At(120)).size() == 1);
}

TEST_CASE("a poll names the age of the view that is needed, once") {
  FeedMember member(MakeSettings(), 1, At(0));
  const StoreStatus own = MakeStatus(5);
  const FeedPoll first = PollOnce(member, own, At(0));
  CHECK_FALSE(first.m_request.m_needed_view_age);
  member.HandleResponse(kSeed, MakeResponse(first, 5), own, At(5));
  while (!member.Advance(own, At(10)).empty()) {
  }

  CHECK(member.RequestPoll(At(12), At(20)));
  CHECK_FALSE(member.RequestPoll(At(8), At(21)));
  const auto needed = member.Advance(own, At(24));
  CHECK(member.RequestPoll(std::nullopt, At(120)));
  const auto next = member.Advance(own, At(120));

  REQUIRE(needed.size() == 1);
  CHECK(needed[0].m_request.m_needed_view_age == milliseconds(12));
  REQUIRE(next.size() == 1);
  CHECK_FALSE(next[0].m_request.m_needed_view_age);
}

TEST_CASE("a request of another fleet gets no response") {
  FeedMember member(MakeSettings(), 1, At(0));
  FeedRequest request;
  request.m_fleet = 8;

  CHECK_FALSE(member.HandleRequest(kReader, request, MakeStatus(5), At(0)));
}

TEST_CASE("a reader of a former era of the store confirms nothing") {
  FeedMember member(MakeSettings(), 1, At(0));
  StoreStatus own = MakeStatus(5);
  own.m_servers = own.m_manifest = {base::StoreEra(2), 5};
  const FeedPoll poll = PollOnce(member, own, At(0));
  FeedResponse response = MakeResponse(poll, 9);
  response.m_status.m_servers = {base::StoreEra(1), 9};

  CHECK(member.HandleResponse(poll.m_peer, response, own, At(2)) ==
        ResponseVerdict::kBehind);
  CHECK_FALSE(member.IsFed(At(2)));
}

TEST_CASE(
    "a reader of a restored store has news though its number is smaller") {
  FeedMember member(MakeSettings(), 1, At(0));
  const StoreStatus own = MakeStatus(9);
  const FeedPoll poll = PollOnce(member, own, At(0));
  FeedResponse response = MakeResponse(poll, 9);
  response.m_status.m_servers = {base::StoreEra(1), 5};

  CHECK(member.HandleResponse(poll.m_peer, response, own, At(2)) ==
        ResponseVerdict::kFetchChanges);
}

TEST_CASE(
    "evacuations are compared like the other collections, and only if the "
    "settings need them") {
  const auto verdict = [](catalog::Revision known, catalog::Revision offered,
                          bool is_needed) {
    FeedMember member(MakeSettings(), 1, At(0));
    StoreStatus own = MakeStatus(9);
    own.m_needs_evacuations = is_needed;
    own.m_evacuations = known;
    const FeedPoll poll = PollOnce(member, own, At(0));
    CHECK(poll.m_request.m_evacuations == known);
    FeedResponse response = MakeResponse(poll, 9);
    response.m_status.m_evacuations = offered;
    const auto result =
        member.HandleResponse(poll.m_peer, response, own, At(2));
    // What is no news and not behind is as new as the reader's view.
    CHECK((result == ResponseVerdict::kNothingNew) ==
          (member.IsFed(At(2)) && (!is_needed || offered >= known)));
    return result;
  };
  const catalog::Revision none;
  const catalog::Revision restored(base::StoreEra(1), 3);

  CHECK(verdict(catalog::Revision(5), catalog::Revision(6), true) ==
        ResponseVerdict::kFetchChanges);
  CHECK(verdict(catalog::Revision(5), restored, true) ==
        ResponseVerdict::kFetchChanges);
  CHECK(verdict(none, catalog::Revision(6), true) ==
        ResponseVerdict::kFetchChanges);
  CHECK(verdict(catalog::Revision(5), catalog::Revision(5), true) ==
        ResponseVerdict::kNothingNew);
  CHECK(verdict(catalog::Revision(6), catalog::Revision(5), true) ==
        ResponseVerdict::kBehind);
  CHECK(verdict(none, catalog::Revision(6), false) ==
        ResponseVerdict::kNothingNew);
}

TEST_CASE(
    "a reader that does not read the evacuations feeds no balancer that needs "
    "them") {
  FeedMember member(MakeSettings(), 1, At(0));
  StoreStatus own = MakeStatus(5);
  own.m_needs_evacuations = true;
  const FeedPoll poll = PollOnce(member, own, At(0));

  CHECK(member.HandleResponse(poll.m_peer, MakeResponse(poll, 9), own, At(2)) ==
        ResponseVerdict::kBehind);
  CHECK_FALSE(member.IsFed(At(2)));
}

// A balancer that started after the restore had read an older manifest.
TEST_CASE("a manifest that is newer than the restored store's is fetched") {
  FeedMember member(MakeSettings(), 1, At(0));
  StoreStatus own = MakeStatus(9);
  own.m_manifest_version = base::ConfigurationVersion(11);
  const FeedPoll poll = PollOnce(member, own, At(0));
  CHECK(poll.m_request.m_manifest_version == base::ConfigurationVersion(11));
  FeedResponse response = MakeResponse(poll, 9);
  response.m_status.m_manifest_version = base::ConfigurationVersion(14);

  CHECK(member.HandleResponse(poll.m_peer, response, own, At(2)) ==
        ResponseVerdict::kFetchChanges);
}

// A reader that started after the restore had the copy's manifest.
TEST_CASE("a reader learns from followers that the store has lost a manifest") {
  FeedMember member(MakeSettings(), 1, At(0));
  StoreStatus own = MakeStatus(9, true);
  own.m_manifest = {base::StoreEra(2), 9};
  own.m_manifest_version = base::ConfigurationVersion(11);
  FeedRequest request;
  request.m_fleet = 7;
  request.m_manifest_version = base::ConfigurationVersion(14);

  request.m_manifest = {base::StoreEra(2), 12};
  member.HandleRequest(kReader, request, own, At(0));
  CHECK_FALSE(member.IsManifestLost(own, At(0)));

  request.m_manifest = {base::StoreEra(1), 12};
  member.HandleRequest(kReader, request, own, At(0));
  CHECK(member.IsManifestLost(own, At(0)));
  CHECK_FALSE(member.IsManifestLost(own, At(3000)));
  own.m_manifest_version = base::ConfigurationVersion(14);
  CHECK_FALSE(member.IsManifestLost(own, At(0)));
}

}  // namespace feed
