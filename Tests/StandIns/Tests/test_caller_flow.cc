// Connects the caller's and the server's end of one flow without a network.

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <vector>

#include "StandIns/caller_flow.h"
#include "StandIns/server_connection.h"

using namespace std::chrono_literals;
using stand_ins::CallerFlow;
using stand_ins::FlowLimits;
using stand_ins::FlowResult;
using stand_ins::Request;
using stand_ins::RequestId;
using stand_ins::RequestKind;
using stand_ins::ServerConnection;
using stand_ins::TcpConnection;
using stand_ins::TcpSegment;

namespace {

const base::Endpoint kService{base::Ipv4Address(0x7f400001), 80};
const base::Endpoint kOtherService{base::Ipv4Address(0x7f400001), 81};

struct FlowFixture {
  explicit FlowFixture(RequestKind kind, base::Endpoint served = kService)
      : m_flow(MakeRequest(kind), kService, MakeLimits(), 1000, m_now),
        m_server(TcpConnection::Accept(5000,
                                       m_flow.TakeSegments(m_now).at(0),
                                       m_now,
                                       {}),
                 served) {
    Exchange();
    REQUIRE(m_server.ReceivedRequest());
  }

  static Request MakeRequest(RequestKind kind) {
    Request request;
    request.m_id = RequestId(9);
    request.m_kind = kind;
    request.m_answer_bytes = 5000;
    request.m_feed_interval = 1s;
    return request;
  }

  static FlowLimits MakeLimits() {
    FlowLimits limits;
    limits.m_deadline = base::TimePoint() + 20s;
    return limits;
  }

  // Delivers segments until neither end has more to send.
  void Exchange() {
    while (true) {
      const auto to_caller = m_server.TakeSegments(m_now);
      for (const TcpSegment& segment : to_caller)
        m_flow.Receive(segment, m_now);
      const auto to_server = m_flow.TakeSegments(m_now);
      for (const TcpSegment& segment : to_server)
        m_server.Receive(segment, m_now);
      if (to_caller.empty() && to_server.empty())
        return;
    }
  }

  // Advances the time at both ends in steps and delivers their segments.
  void Wait(base::Duration duration) {
    const base::TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now += 100ms;
      m_flow.Advance(m_now);
      m_server.Advance(m_now);
      Exchange();
    }
  }

  base::TimePoint m_now{};
  CallerFlow m_flow;
  ServerConnection m_server;
};

}  // namespace

TEST_CASE("after a whole answer the flow is whole and both ends close") {
  FlowFixture fixture(RequestKind::kPull);
  fixture.m_server.StartAnswer(fixture.m_now);

  fixture.Exchange();
  CHECK(fixture.m_flow.Result() == FlowResult::kWhole);
  fixture.Wait(2s);
  CHECK(fixture.m_flow.IsConnectionClosed());
  CHECK(fixture.m_server.Tcp().IsClosed());
}

TEST_CASE("an answer \"not run\" makes the flow's result kNotRun") {
  FlowFixture fixture(RequestKind::kDeclaration);
  fixture.m_server.AnswerNotRun();

  fixture.Exchange();

  CHECK(fixture.m_flow.Result() == FlowResult::kNotRun);
  CHECK(stand_ins::IsRefusedAsNotRun(fixture.m_flow.Result()));
}

TEST_CASE("an answer from another service is a wrong answer") {
  FlowFixture fixture(RequestKind::kShort, kOtherService);
  fixture.m_server.StartAnswer(fixture.m_now);

  fixture.Exchange();

  CHECK(fixture.m_flow.Result() == FlowResult::kWrongAnswer);
  CHECK(fixture.m_flow.Answer().IsMisdelivered());
}

TEST_CASE("a flow that waits for a slot expires, it is not silent") {
  FlowFixture fixture(RequestKind::kDeclaration);
  fixture.Wait(15s);
  CHECK(fixture.m_flow.Result() == FlowResult::kOpen);

  fixture.Wait(5s);
  CHECK(fixture.m_flow.Result() == FlowResult::kExpired);
  CHECK(fixture.m_server.Tcp().End() == stand_ins::TcpEnd::kReset);
}

TEST_CASE("a feed receives its events on time and is whole once closed") {
  FlowFixture fixture(RequestKind::kFeed);
  fixture.m_server.StartAnswer(fixture.m_now);
  fixture.Wait(10s);
  CHECK(fixture.m_flow.Result() == FlowResult::kOpen);
  CHECK(fixture.m_flow.Answer().Events() == 11);

  CHECK(fixture.m_flow.LongestEventGap(fixture.m_now) == 1s);
  fixture.m_flow.FinishFeed(fixture.m_now);
  fixture.Exchange();
  CHECK(fixture.m_flow.Result() == FlowResult::kWhole);
  CHECK(fixture.m_server.Tcp().PeerHasFinished());
}

TEST_CASE(
    "an established flow that receives nothing is silent after the limit") {
  FlowFixture fixture(RequestKind::kShort);
  const base::TimePoint limit = fixture.m_now + 5s;

  fixture.m_flow.Advance(limit - 1ms);
  CHECK(fixture.m_flow.Result() == FlowResult::kOpen);
  fixture.m_flow.Advance(limit);
  CHECK(fixture.m_flow.Result() == FlowResult::kSilent);
  CHECK(stand_ins::IsBroken(fixture.m_flow.Result()));
}
