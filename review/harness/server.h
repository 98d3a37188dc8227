// A backend server as PROTOCOL.md describes it: flows over UDP, health checks
// over TCP.

#ifndef REVIEW_HARNESS_SERVER_H_
#define REVIEW_HARNESS_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "../../Libraries/LibFlow/flow_key.h"
#include "../../Tests/Soak/soak_packet.h"
#include "loop.h"
#include "network.h"
#include "record.h"

namespace review {

class Server {
 public:
  struct Identity {
    // The name of the entry, and its hex digits as a number.
    std::string m_id;
    std::uint64_t m_number = 0;
    std::string m_service;
    std::string m_zone;
    base::Endpoint m_endpoint;
  };
  // Called for each SYN that the server takes, and for each request that it
  // runs. `machine` is the balancer's address.
  struct Observer {
    std::function<void(const Server&, const flow::FlowKey&, base::Ipv4Address)>
        m_on_opening;
    std::function<void(const Server&, const std::string& request)> m_on_run;
  };

  // The throws are those of the sockets.
  Server(Loop& loop, Record& record, Identity identity, Observer observer);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Queries.
  const Identity& identity() const { return m_identity; }
  // The spec of the server's entry in the store.
  std::string Spec(const std::string& state) const;

  // Commands.
  // The server closes each flow after its next response.
  void SetDraining() { m_is_draining = true; }

 private:
  struct Flow {
    bool m_is_open = false;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_expected = 0;
    // The last answer and the request's sequence number.
    std::uint32_t m_answered = 0;
    std::string m_answer;
    std::string m_running;
  };

  void AcceptHealthCheck();
  void AnswerHealthCheck(int descriptor);
  void Receive();
  void Handle(const soak::SoakPacket& packet, base::Ipv4Address machine);
  void HandleData(const soak::SoakPacket& packet, Flow& flow);
  void Answer(const soak::SoakPacket& packet);
  void Send(const soak::SoakPacket& to,
            std::uint8_t flags,
            std::uint32_t sequence,
            std::uint32_t acknowledgement,
            const std::string& payload = {});

  Loop& m_loop;
  Record& m_record;
  Identity m_identity;
  Observer m_observer;
  int m_socket = -1;
  int m_listener = -1;
  bool m_is_draining = false;
  std::map<flow::FlowKey, Flow> m_flows;
  std::set<int> m_health_checks;
  // Timers that outlive the server do nothing.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace review

#endif  // REVIEW_HARNESS_SERVER_H_
