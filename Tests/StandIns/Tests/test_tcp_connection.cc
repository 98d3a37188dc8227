#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "StandIns/Tests/simulated_link.h"
#include "StandIns/request_message.h"
#include "StandIns/tcp_connection.h"
#include "StandIns/tcp_packet.h"

using namespace std::chrono_literals;
using stand_ins::LinkFaults;
using stand_ins::PatternBytes;
using stand_ins::RequestId;
using stand_ins::SimulatedLink;
using stand_ins::TcpConnection;
using stand_ins::TcpEnd;
using stand_ins::TcpSegment;
using stand_ins::TcpState;

namespace {

constexpr std::uint64_t kSeeds = 40;

// The result of one exchange of data in both directions.
struct Exchange {
  std::string m_received_by_server;
  std::string m_received_by_client;
  TcpEnd m_client_end = TcpEnd::kOpen;
  TcpEnd m_server_end = TcpEnd::kOpen;
};

// The client sends `up` and closes; the server sends `down` and closes.
Exchange RunExchange(SimulatedLink* link,
                     std::uint32_t initial_sequence,
                     const std::string& up,
                     const std::string& down) {
  Exchange exchange;
  auto client = TcpConnection::Connect(initial_sequence, link->Now(), {});
  std::optional<TcpConnection> server;
  client.Send(up);
  bool server_has_sent = false;
  const base::TimePoint limit = link->Now() + 300s;
  while (link->Now() < limit && link->Step(&client, &server)) {
    exchange.m_received_by_client += client.TakeReceived();
    if (exchange.m_received_by_client.size() == down.size())
      client.Close();
    if (!server)
      continue;
    exchange.m_received_by_server += server->TakeReceived();
    if (server->WasEstablished() && !server_has_sent) {
      server_has_sent = true;
      server->Send(down);
      server->Close();
    }
    if (client.IsClosed() && server->IsClosed())
      break;
  }
  exchange.m_client_end = client.End();
  exchange.m_server_end = server ? server->End() : TcpEnd::kOpen;
  return exchange;
}

// Two ends after the handshake, without a network between them.
struct EstablishedPair {
  static constexpr std::uint32_t kClientSequence = 0xfffffff0;
  static constexpr std::uint32_t kServerSequence = 0x7ffffff0;

  EstablishedPair()
      : m_client(TcpConnection::Connect(kClientSequence, m_now, {})),
        m_server(TcpConnection::Accept(kServerSequence,
                                       m_client.TakeSegments(m_now).at(0),
                                       m_now,
                                       {})) {
    m_client.Receive(m_server.TakeSegments(m_now).at(0), m_now);
    m_server.Receive(m_client.TakeSegments(m_now).at(0), m_now);
  }

  base::TimePoint m_now{};
  TcpConnection m_client;
  TcpConnection m_server;
};

TcpSegment Reset(std::uint32_t sequence) {
  TcpSegment reset;
  reset.m_rst = true;
  reset.m_sequence = sequence;
  return reset;
}

}  // namespace

TEST_CASE("streams stay intact under loss, duplication, reordering and delay") {
  LinkFaults faults;
  faults.m_loss = 0.15;
  faults.m_duplication = 0.1;
  faults.m_shortest_delay = 1ms;
  faults.m_longest_delay = 30ms;
  const std::string up = PatternBytes(RequestId(1), 0, 20'000);
  const std::string down = PatternBytes(RequestId(2), 0, 90'000);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SimulatedLink link(seed, faults);

    const Exchange exchange =
        RunExchange(&link, base::Random(seed).Next(), up, down);

    CHECK(exchange.m_received_by_server == up);
    CHECK(exchange.m_received_by_client == down);
    // The last acknowledgment may be lost, but neither end is reset.
    CHECK(exchange.m_client_end != TcpEnd::kReset);
    CHECK(exchange.m_server_end != TcpEnd::kReset);
  }
}

TEST_CASE("without faults both ends finish and no byte is sent twice") {
  const std::string down = PatternBytes(RequestId(2), 0, 200'000);
  SimulatedLink link(1, {});

  const Exchange exchange = RunExchange(&link, 0xffffff00, "request", down);

  CHECK(exchange.m_received_by_client == down);
  CHECK(exchange.m_client_end == TcpEnd::kFinished);
  CHECK(exchange.m_server_end == TcpEnd::kFinished);
  std::size_t sent = 0;
  for (const TcpSegment& segment : link.SentByServer())
    sent += segment.m_payload.size();
  CHECK(sent == down.size());
}

TEST_CASE(
    "late segments of an earlier connection do not corrupt or close a later "
    "one") {
  LinkFaults faults;
  faults.m_longest_delay = 20ms;
  const std::string old_up = PatternBytes(RequestId(1), 0, 5'000);
  const std::string old_down = PatternBytes(RequestId(2), 0, 5'000);
  const std::string down = PatternBytes(RequestId(3), 0, 60'000);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    base::Random random(seed);
    SimulatedLink earlier(random.Next(), faults);
    RunExchange(&earlier, random.Next(), old_up, old_down);
    SimulatedLink link(random.Next(), faults);
    auto client = TcpConnection::Connect(random.Next(), link.Now(), {});
    std::optional<TcpConnection> server;
    std::string received;

    std::size_t stale = 0;
    while (received.size() < down.size() && link.Step(&client, &server)) {
      if (server && server->WasEstablished()) {
        if (stale == 0)
          server->Send(down);
        if (stale < earlier.SentByServer().size())
          link.InjectToClient(earlier.SentByServer()[stale]);
        if (stale < earlier.SentByClient().size())
          link.InjectToServer(earlier.SentByClient()[stale]);
        ++stale;
      }
      received += client.TakeReceived();
      REQUIRE_FALSE(client.IsClosed());
    }

    CHECK(received == down);
    CHECK(server->TakeReceived().empty());
    CHECK(server->State() == TcpState::kEstablished);
  }
}

TEST_CASE("fast retransmit repairs one lost segment without a timeout") {
  EstablishedPair pair;
  const std::string data = PatternBytes(RequestId(1), 0, 10'000);
  pair.m_client.Send(data);
  auto segments = pair.m_client.TakeSegments(pair.m_now);
  segments.erase(segments.begin() + 1);
  for (const TcpSegment& segment : segments) {
    pair.m_server.Receive(segment, pair.m_now);
    for (const TcpSegment& answer : pair.m_server.TakeSegments(pair.m_now))
      pair.m_client.Receive(answer, pair.m_now);
  }
  for (const TcpSegment& segment : pair.m_client.TakeSegments(pair.m_now))
    pair.m_server.Receive(segment, pair.m_now);

  CHECK(pair.m_server.TakeReceived() == data);
}

TEST_CASE("a reset is accepted only inside the window") {
  EstablishedPair pair;
  const std::uint32_t next = EstablishedPair::kServerSequence + 1;

  pair.m_client.Receive(Reset(next - 1), pair.m_now);
  pair.m_client.Receive(Reset(next + 65535), pair.m_now);
  CHECK(pair.m_client.State() == TcpState::kEstablished);
  CHECK(pair.m_client.TakeSegments(pair.m_now).empty());

  pair.m_client.Receive(Reset(next), pair.m_now);
  CHECK(pair.m_client.End() == TcpEnd::kUnknownToPeer);
}

TEST_CASE("data that acknowledges another connection's sequence is dropped") {
  for (const std::uint32_t offset : {1U + 100'000U, 1U - 100'000U}) {
    EstablishedPair pair;
    TcpSegment stale;
    stale.m_ack = true;
    stale.m_sequence = EstablishedPair::kServerSequence + 1;
    stale.m_acknowledgment = EstablishedPair::kClientSequence + offset;
    stale.m_payload = "stale";

    pair.m_client.Receive(stale, pair.m_now);

    CHECK(pair.m_client.TakeReceived().empty());
    CHECK(pair.m_client.State() == TcpState::kEstablished);
    const auto answer = pair.m_client.TakeSegments(pair.m_now);
    REQUIRE(answer.size() == 1);
    CHECK(answer[0].m_ack);
    CHECK_FALSE(answer[0].m_rst);
  }
}

TEST_CASE("a reset closes an opening only if it acknowledges the SYN") {
  const base::TimePoint now;
  auto client = TcpConnection::Connect(1000, now, {});
  const TcpSegment syn = client.TakeSegments(now).at(0);
  TcpSegment refusal = stand_ins::RefusalOfOpening(syn);

  client.Receive(Reset(0), now);
  refusal.m_acknowledgment = 1000;
  client.Receive(refusal, now);
  refusal.m_acknowledgment = 1002;
  client.Receive(refusal, now);
  CHECK(client.State() == TcpState::kSynSent);
  CHECK(client.TakeSegments(now).empty());

  refusal.m_acknowledgment = 1001;
  client.Receive(refusal, now);
  CHECK(client.End() == TcpEnd::kRefused);
}

TEST_CASE("a SYN and ACK with a wrong acknowledgment causes a reset") {
  const base::TimePoint now;
  auto client = TcpConnection::Connect(1000, now, {});
  client.TakeSegments(now);
  TcpSegment stale;
  stale.m_syn = true;
  stale.m_ack = true;
  stale.m_acknowledgment = 777;

  client.Receive(stale, now);

  const auto answer = client.TakeSegments(now);
  REQUIRE(answer.size() == 1);
  CHECK(answer[0].m_rst);
  CHECK_FALSE(answer[0].m_ack);
  CHECK(answer[0].m_sequence == 777);
  CHECK(client.State() == TcpState::kSynSent);
}

TEST_CASE("a server in SYN-RECEIVED resets on a wrong acknowledgment") {
  const base::TimePoint now;
  TcpSegment syn;
  syn.m_syn = true;
  syn.m_sequence = 500;
  auto server = TcpConnection::Accept(9000, syn, now, {});
  server.TakeSegments(now);
  TcpSegment acknowledgment;
  acknowledgment.m_ack = true;
  acknowledgment.m_sequence = 501;
  acknowledgment.m_acknowledgment = 12345;

  server.Receive(acknowledgment, now);

  const auto answer = server.TakeSegments(now);
  REQUIRE(answer.size() == 1);
  CHECK(answer[0].m_rst);
  CHECK(answer[0].m_sequence == 12345);
  CHECK_FALSE(server.WasEstablished());
}

TEST_CASE("an abort sends a reset with SND.NXT that the peer accepts") {
  EstablishedPair pair;
  pair.m_client.Send("request");
  const auto request = pair.m_client.TakeSegments(pair.m_now);
  pair.m_client.Abort();

  const auto reset = pair.m_client.TakeSegments(pair.m_now);

  REQUIRE(reset.size() == 1);
  CHECK(reset[0].m_rst);
  CHECK(reset[0].m_ack);
  CHECK(reset[0].m_sequence == EstablishedPair::kClientSequence + 1 + 7);
  // The request is not delivered before the reset.
  pair.m_server.Receive(reset[0], pair.m_now);
  CHECK(pair.m_server.End() == TcpEnd::kReset);
}

TEST_CASE(
    "an opening on the port of an old connection makes the server drop it") {
  // RFC 9293, section 3.5.1: the acknowledgment of the server's old end reveals
  // the half-open connection, and the client resets it.
  EstablishedPair pair;
  TcpSegment syn;
  syn.m_syn = true;
  syn.m_sequence = 12345;
  auto client = TcpConnection::Connect(12345, pair.m_now, {});
  const TcpSegment opening = client.TakeSegments(pair.m_now).at(0);

  pair.m_server.Receive(opening, pair.m_now);
  client.Receive(pair.m_server.TakeSegments(pair.m_now).at(0), pair.m_now);
  pair.m_server.Receive(client.TakeSegments(pair.m_now).at(0), pair.m_now);

  CHECK(pair.m_server.End() == TcpEnd::kUnknownToPeer);
  CHECK(client.State() == TcpState::kSynSent);
}

TEST_CASE("the opening is retransmitted after 200 ms, 400 ms and so on") {
  base::TimePoint now;
  auto client = TcpConnection::Connect(1, now, {});
  CHECK(client.TakeSegments(now).size() == 1);
  for (const auto wait : {200ms, 400ms, 800ms, 1600ms, 1600ms}) {
    CHECK(client.NextDeadline() == now + wait);
    now += wait;
    client.Advance(now);
    const auto again = client.TakeSegments(now);
    REQUIRE(again.size() == 1);
    CHECK(again[0].m_syn);
    CHECK(again[0].m_sequence == 1);
  }
}

TEST_CASE("keep-alives time out a connection whose peer is gone") {
  EstablishedPair pair;
  base::TimePoint now = pair.m_now;
  int probes = 0;
  while (!pair.m_client.IsClosed()) {
    REQUIRE(pair.m_client.NextDeadline());
    now = *pair.m_client.NextDeadline();
    pair.m_client.Advance(now);
    probes += static_cast<int>(pair.m_client.TakeSegments(now).size());
  }
  CHECK(pair.m_client.End() == TcpEnd::kTimedOut);
  CHECK(now - pair.m_now == 30s);
  CHECK(probes == 29);
}

TEST_CASE("two ends with different states stop acknowledging each other") {
  EstablishedPair first;
  auto client = TcpConnection::Connect(5555, first.m_now, {});
  std::optional<TcpConnection> server = TcpConnection::Accept(
      6666, client.TakeSegments(first.m_now).at(0), first.m_now, {});
  client.Receive(server->TakeSegments(first.m_now).at(0), first.m_now);
  // The ends of two different connections exchange segments.
  client.TakeSegments(first.m_now);
  first.m_server.Send("event");
  auto in_flight = first.m_server.TakeSegments(first.m_now);
  int exchanged = 0;
  while (!in_flight.empty() && exchanged < 100) {
    const bool to_client = exchanged % 2 == 0;
    TcpConnection& target = to_client ? client : first.m_server;
    for (const TcpSegment& segment : in_flight)
      target.Receive(segment, first.m_now);
    in_flight = target.TakeSegments(first.m_now);
    ++exchanged;
  }
  CHECK(exchanged <= 4);
}
