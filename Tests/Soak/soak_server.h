// A backend server that accepts flows, answers requests, and checks the packets
// that it receives.

#ifndef TESTS_SOAK_SOAK_SERVER_H_
#define TESTS_SOAK_SOAK_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <asio.hpp>

#include "LibBase/random.h"
#include "LibFlow/flow_key.h"
#include "StandIns/event_loop.h"
#include "StandIns/udp_port.h"
#include "soak_packet.h"

namespace soak {

class InvariantChecker;

class SoakServer {
 public:
  struct Identity {
    std::string m_name;
    std::uint64_t m_number = 0;
    std::string m_service;
    base::Endpoint m_endpoint;
    std::string m_data_centre;
    std::int64_t m_born = 0;
  };

  // Throws if the server cannot bind its endpoint.
  SoakServer(stand_ins::EventLoop* loop,
             InvariantChecker* checker,
             Identity identity,
             std::uint64_t seed);
  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

  // Queries.
  const Identity& identity() const { return m_identity; }
  bool IsDraining() const { return m_state == "draining"; }

  // Commands.
  // The server's next entry in the store, as JSON. Without `state`, the state
  // is that of the previous entry.
  std::string NextSpec(const std::string& state = {});
  // Lengthens the service time of each request by `service_time`.
  void SetExtraServiceTime(base::Duration service_time) {
    m_extra_service_time = service_time;
  }

 private:
  struct Flow {
    std::uint32_t m_sequence = 0;
    std::uint32_t m_expected = 0;
    bool m_is_open = false;
    // The last answer, and the sequence number of the request that it answers.
    std::uint32_t m_answered_sequence = 0;
    std::string m_answer;
  };

  void Handle(stand_ins::UdpPort::Bytes datagram, base::Endpoint edge);
  void HandleOpening(const SoakPacket& packet, base::Endpoint edge);
  void HandleNonOpening(const SoakPacket& packet);
  void HandleData(const SoakPacket& packet, Flow& flow);
  void SendAnswer(const SoakPacket& packet);
  void Send(const SoakPacket& to,
            std::uint8_t flags,
            std::uint32_t sequence,
            std::uint32_t acknowledgement,
            const std::string& payload = {});
  void Accept();

  stand_ins::EventLoop* m_loop;
  InvariantChecker* m_checker;
  Identity m_identity;
  std::string m_state = "ready";
  std::uint64_t m_sequence = 0;
  base::Random m_random;
  base::Duration m_extra_service_time{};
  std::unique_ptr<stand_ins::UdpPort> m_port;
  asio::ip::tcp::acceptor m_acceptor;
  std::map<flow::FlowKey, Flow> m_flows;
  // Expires with the server, so that the timers of its requests don't use it
  // afterwards.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace soak

#endif  // TESTS_SOAK_SOAK_SERVER_H_
