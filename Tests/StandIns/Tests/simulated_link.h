// Simulates the network between two TCP ends in virtual time, with seeded
// random faults.

#ifndef STANDINS_TESTS_SIMULATED_LINK_H_
#define STANDINS_TESTS_SIMULATED_LINK_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "StandIns/tcp_connection.h"

namespace stand_ins {

struct LinkFaults {
  double m_loss = 0;
  double m_duplication = 0;
  // Each delay is uniform between these two, so that segments are reordered.
  std::chrono::microseconds m_shortest_delay{100};
  std::chrono::microseconds m_longest_delay{100};
};

class SimulatedLink {
 public:
  SimulatedLink(std::uint64_t seed, const LinkFaults& faults)
      : m_random(seed), m_faults(faults) {}

  // Queries.
  base::TimePoint Now() const { return m_now; }
  // All segments sent so far, in order.
  const std::vector<TcpSegment>& SentByClient() const { return m_by_client; }
  const std::vector<TcpSegment>& SentByServer() const { return m_by_server; }

  // Commands.
  // Advances time to the next arrival or timer and handles the event. Returns
  // false if no event is left. The first SYN creates the server end.
  bool Step(TcpConnection* client, std::optional<TcpConnection>* server) {
    CollectSegments(client, server);
    const auto next = NextTime(*client, *server);
    if (!next)
      return false;
    m_now = std::max(m_now, *next);
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
      const InFlightSegment flight =
          m_in_flight.extract(m_in_flight.begin()).mapped();
      Deliver(flight, client, server);
      CollectSegments(client, server);
    }
    client->Advance(m_now);
    if (*server)
      (*server)->Advance(m_now);
    CollectSegments(client, server);
    return true;
  }

  // Delivers a segment, for example of an earlier connection, to the server.
  void InjectToServer(const TcpSegment& segment) {
    m_in_flight.emplace(m_now, InFlightSegment{true, segment});
  }
  void InjectToClient(const TcpSegment& segment) {
    m_in_flight.emplace(m_now, InFlightSegment{false, segment});
  }

 private:
  struct InFlightSegment {
    bool m_to_server;
    TcpSegment m_segment;
  };

  std::optional<base::TimePoint> NextTime(
      const TcpConnection& client,
      const std::optional<TcpConnection>& server) const {
    std::optional<base::TimePoint> next = client.NextDeadline();
    const auto include = [&next](std::optional<base::TimePoint> time) {
      if (time)
        next = std::min(next.value_or(*time), *time);
    };
    if (server)
      include(server->NextDeadline());
    if (!m_in_flight.empty())
      include(m_in_flight.begin()->first);
    return next;
  }

  void CollectSegments(TcpConnection* client,
                       std::optional<TcpConnection>* server) {
    for (TcpSegment& segment : client->TakeSegments(m_now)) {
      m_by_client.push_back(segment);
      Transmit({true, std::move(segment)});
    }
    if (!*server)
      return;
    for (TcpSegment& segment : (*server)->TakeSegments(m_now)) {
      m_by_server.push_back(segment);
      Transmit({false, std::move(segment)});
    }
  }

  void Transmit(const InFlightSegment& flight) {
    if (m_random.Unit() >= m_faults.m_loss)
      m_in_flight.emplace(m_now + DrawDelay(), flight);
    if (m_random.Unit() < m_faults.m_duplication)
      m_in_flight.emplace(m_now + DrawDelay(), flight);
  }

  base::Duration DrawDelay() {
    const auto spread = m_faults.m_longest_delay - m_faults.m_shortest_delay;
    return m_faults.m_shortest_delay +
           std::chrono::microseconds(m_random.Below(spread.count() + 1));
  }

  void Deliver(const InFlightSegment& flight,
               TcpConnection* client,
               std::optional<TcpConnection>* server) {
    const TcpSegment& segment = flight.m_segment;
    if (!flight.m_to_server) {
      client->Receive(segment, m_now);
      return;
    }
    if (*server)
      (*server)->Receive(segment, m_now);
    else if (segment.m_syn)
      *server = TcpConnection::Accept(
          static_cast<std::uint32_t>(m_random.Next()), segment, m_now, {});
  }

  base::Random m_random;
  LinkFaults m_faults;
  base::TimePoint m_now{};
  std::multimap<base::TimePoint, InFlightSegment> m_in_flight;
  std::vector<TcpSegment> m_by_client;
  std::vector<TcpSegment> m_by_server;
};

}  // namespace stand_ins

#endif  // STANDINS_TESTS_SIMULATED_LINK_H_
