#include <doctest/doctest.h>

#include "StandIns/Platform/platform_model.h"

using stand_ins::LostAnswer;
using stand_ins::Outage;
using stand_ins::PlatformAnswer;
using stand_ins::PlatformModel;
using stand_ins::PlatformReaction;
using stand_ins::PlatformRequest;
using stand_ins::SilentCall;
using stand_ins::WaitingWatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint kStart = base::TimePoint() + seconds(1000);

PlatformRequest Get(const std::string& key) {
  return {"GET", "/objects/" + key, {}, std::nullopt, ""};
}

PlatformRequest Put(const std::string& key, std::uint64_t version) {
  return {"PUT", "/objects/" + key, {}, version, "body"};
}

PlatformAnswer AnswerOf(const PlatformReaction& reaction) {
  REQUIRE(std::holds_alternative<PlatformAnswer>(reaction));
  return std::get<PlatformAnswer>(reaction);
}

}  // namespace

TEST_CASE("an update takes effect only on the version that it names") {
  PlatformModel model({});

  const auto created = AnswerOf(model.Handle(Put("a/b", 0), 0, kStart));
  const auto refused = AnswerOf(model.Handle(Put("a/b", 0), 0, kStart));
  const auto replaced =
      AnswerOf(model.Handle(Put("a/b", *created.m_version), 0, kStart));

  CHECK(created.m_status == 200);
  CHECK(refused.m_status == 409);
  CHECK(refused.m_version == created.m_version);
  CHECK(replaced.m_status == 200);
  CHECK(*replaced.m_version > *created.m_version);
}

TEST_CASE("a lagging read gives the state of that time") {
  PlatformModel model({});
  model.Control("lag", {{"ms", "500"}}, kStart);
  model.Handle(Put("a", 0), 0, kStart);

  const auto early =
      AnswerOf(model.Handle(Get("a"), 0, kStart + milliseconds(499)));
  const auto late =
      AnswerOf(model.Handle(Get("a"), 0, kStart + milliseconds(500)));

  CHECK(early.m_status == 404);
  CHECK(late.m_status == 200);
}

TEST_CASE("a watch waits for a greater version or its deadline") {
  PlatformModel model({});
  model.Handle(Put("a", 0), 0, kStart);
  PlatformRequest request = Get("a");
  request.m_query = {{"watch", "1"}, {"timeout_ms", "1000"}};

  const auto reaction = model.Handle(request, 0, kStart);
  REQUIRE(std::holds_alternative<WaitingWatch>(reaction));
  const auto watch = std::get<WaitingWatch>(reaction);

  CHECK_FALSE(model.PollWatch(watch, kStart + milliseconds(999)));
  CHECK(model.PollWatch(watch, kStart + seconds(1))->m_status == 204);
  model.Handle(Put("a", 1), 0, kStart + milliseconds(10));
  const auto answer = model.PollWatch(watch, kStart + milliseconds(10));
  REQUIRE(answer);
  CHECK(answer->m_version == 2);
}

TEST_CASE("calls over the rate are rejected and waiting watches count") {
  PlatformModel model({2, 3});

  CHECK(AnswerOf(model.Handle(Get("a"), 1, kStart)).m_status == 404);
  CHECK(AnswerOf(model.Handle(Get("a"), 1, kStart)).m_status == 404);
  CHECK(AnswerOf(model.Handle(Get("a"), 1, kStart)).m_status == 429);
  CHECK(AnswerOf(model.Handle(Get("a"), 1, kStart + seconds(1))).m_status ==
        404);
}

TEST_CASE("a write whose answer is lost has taken effect") {
  PlatformModel model({});
  model.Control("lose-answers", {{"count", "1"}}, kStart);

  const auto reaction = model.Handle(Put("a", 0), 0, kStart);

  CHECK(std::holds_alternative<LostAnswer>(reaction));
  CHECK(AnswerOf(model.Handle(Get("a"), 0, kStart)).m_version == 1);
}

TEST_CASE("an outage refuses or holds every call") {
  PlatformModel model({});

  model.Control("outage", {{"mode", "refuse"}}, kStart);
  CHECK(AnswerOf(model.Handle(Get("a"), 0, kStart)).m_status == 503);
  model.Control("outage", {{"mode", "silent"}}, kStart);
  CHECK(std::holds_alternative<SilentCall>(model.Handle(Get("a"), 0, kStart)));
}

TEST_CASE("the VM list names the live and leaving VMs of a data centre") {
  PlatformModel model({});
  for (const char* name : {"a", "b", "c"})
    model.Control("vm",
                  {{"name", name},
                   {"data_centre", *name == 'c' ? "south" : "north"},
                   {"state", "live"},
                   {"traffic", "127.0.0.1:1"},
                   {"peer", "127.0.0.1:2"},
                   {"admin", "127.0.0.1:3"}},
                  kStart);
  model.Control("vm", {{"name", "b"}, {"state", "gone"}}, kStart);

  const auto answer = AnswerOf(model.Handle(
      {"GET", "/vms", {{"data_centre", "north"}}, std::nullopt, ""}, 0,
      kStart));

  CHECK(answer.m_body == "a north live 127.0.0.1:1 127.0.0.1:2 127.0.0.1:3\n");
}
