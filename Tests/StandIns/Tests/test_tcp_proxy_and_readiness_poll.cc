// Tests the parts of the stand-ins that use TCP over real sockets.

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include <asio.hpp>

#include "LibBase/asio_endpoint.h"
#include "StandIns/event_loop.h"
#include "StandIns/fault_plan.h"
#include "StandIns/readiness_poll.h"
#include "StandIns/tcp_proxy.h"

using namespace std::chrono_literals;
using asio::ip::tcp;
using stand_ins::EventLoop;

namespace {

const base::Endpoint kAnyPort{base::Ipv4Address(0x7f30c804), 0};
constexpr auto kTimeout = 20s;

// Runs the loop until the condition holds or kTimeout has passed. Returns
// whether the condition holds.
bool RunUntil(EventLoop* loop, const std::function<bool()>& condition) {
  const base::TimePoint limit = EventLoop::Now() + kTimeout;
  const auto timer = loop->Timers().SubscribeEvery(
      EventLoop::Now(), 1ms, [&](base::TimePoint now) {
        if (condition() || now >= limit)
          loop->Stop();
      });
  loop->Run();
  loop->Timers().Cancel(timer);
  return condition();
}

// Sends the same text on each accepted connection and closes the connection.
class HttpTextServer {
 public:
  explicit HttpTextServer(EventLoop* loop)
      : m_acceptor(loop->Context(), base::ToAsio<tcp>(kAnyPort)) {
    Accept();
  }

  base::Endpoint Local() const {
    return base::FromAsio(m_acceptor.local_endpoint());
  }

  std::string m_text;

 private:
  void Accept() {
    m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
      if (error)
        return;
      asio::write(socket, asio::buffer(m_text));
      Accept();
    });
  }

  tcp::acceptor m_acceptor;
};

// Reads one connection until the end of the stream or an error.
class TextClient {
 public:
  TextClient(EventLoop* loop, base::Endpoint server)
      : m_socket(loop->Context()) {
    m_socket.connect(base::ToAsio<tcp>(server));
    Read();
  }

  std::string m_text;
  bool m_ended = false;
  bool m_reset = false;

 private:
  void Read() {
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [this](std::error_code error, std::size_t size) {
                               m_text.append(m_buffer.data(), size);
                               m_ended = error == asio::error::eof;
                               m_reset = error == asio::error::connection_reset;
                               if (!error)
                                 Read();
                             });
  }

  tcp::socket m_socket;
  std::array<char, 4096> m_buffer;
};

struct ProxyFixture {
  ProxyFixture()
      : m_server(&m_loop),
        m_plan(stand_ins::ProxyProtocol::kTcp, 1),
        m_proxy(&m_loop, &m_plan, m_server.Local()) {
    m_server.m_text = std::string(300'000, 'a') + "end";
    m_plan.AddCommands(&m_commands, [this] { m_proxy.ApplyRules(); });
    REQUIRE(m_proxy.Open(kAnyPort));
  }

  EventLoop m_loop;
  HttpTextServer m_server;
  stand_ins::FaultPlan m_plan;
  stand_ins::LineCommands m_commands;
  stand_ins::TcpProxy m_proxy;
};

}  // namespace

TEST_CASE("a TCP proxy forwards every byte and the end of the stream") {
  ProxyFixture fixture;
  fixture.m_commands.Execute("delay 1 2");

  TextClient client(&fixture.m_loop, fixture.m_proxy.LocalEndpoint());

  CHECK(RunUntil(&fixture.m_loop, [&] { return client.m_ended; }));
  CHECK(client.m_text == fixture.m_server.m_text);
}

TEST_CASE("a frozen or cut TCP proxy delivers no byte until \"heal\"") {
  for (const std::string fault : {"freeze", "cut backward", "cut both"}) {
    CAPTURE(fault);
    ProxyFixture fixture;
    fixture.m_commands.Execute(fault);
    TextClient client(&fixture.m_loop, fixture.m_proxy.LocalEndpoint());
    const base::TimePoint start = EventLoop::Now();
    RunUntil(&fixture.m_loop, [&] { return EventLoop::Now() > start + 50ms; });
    CHECK(client.m_text.empty());

    fixture.m_commands.Execute("heal");

    CHECK(RunUntil(&fixture.m_loop, [&] { return client.m_ended; }));
    CHECK(client.m_text == fixture.m_server.m_text);
  }
}

TEST_CASE(
    "\"drop\" on a TCP proxy resets open and new connections until \"heal\"") {
  ProxyFixture fixture;
  fixture.m_commands.Execute("freeze");
  TextClient open(&fixture.m_loop, fixture.m_proxy.LocalEndpoint());
  const base::TimePoint start = EventLoop::Now();
  RunUntil(&fixture.m_loop, [&] { return EventLoop::Now() > start + 50ms; });

  fixture.m_commands.Execute("drop");
  TextClient refused(&fixture.m_loop, fixture.m_proxy.LocalEndpoint());
  CHECK(RunUntil(&fixture.m_loop,
                 [&] { return open.m_reset && refused.m_reset; }));
  fixture.m_commands.Execute("heal");
  TextClient client(&fixture.m_loop, fixture.m_proxy.LocalEndpoint());

  CHECK(RunUntil(&fixture.m_loop, [&] { return client.m_ended; }));
  CHECK(client.m_text == fixture.m_server.m_text);
}

TEST_CASE("a balancer is ready after status 200 and not ready after another") {
  EventLoop loop;
  HttpTextServer server(&loop);
  server.m_text = "HTTP/1.1 200 OK\r\n\r\n";
  bool ready = false;
  const auto poll = std::make_shared<stand_ins::ReadinessPoll>(
      &loop, server.Local(), [&](bool now_ready) { ready = now_ready; });
  poll->Start();
  CHECK(RunUntil(&loop, [&] { return ready; }));

  server.m_text = "HTTP/1.1 503 Service Unavailable\r\n\r\n";
  const base::TimePoint changed = EventLoop::Now();
  CHECK(RunUntil(&loop, [&] { return !ready; }));
  CHECK(EventLoop::Now() - changed < 1s);
  poll->Stop();
}

TEST_CASE("a balancer is not ready after three failed connections") {
  EventLoop loop;
  auto server = std::make_unique<HttpTextServer>(&loop);
  server->m_text = "HTTP/1.1 200 OK\r\n\r\n";
  bool ready = false;
  const auto poll = std::make_shared<stand_ins::ReadinessPoll>(
      &loop, server->Local(), [&](bool now_ready) { ready = now_ready; });
  poll->Start();
  REQUIRE(RunUntil(&loop, [&] { return ready; }));

  const base::TimePoint stopped = EventLoop::Now();
  server.reset();
  CHECK(RunUntil(&loop, [&] { return !ready; }));
  CHECK(EventLoop::Now() - stopped >= 200ms);
  poll->Stop();
}
