// The stand-in for a backend server: terminates TCP connections that arrive as
// IP-in-UDP packets, runs requests in its slots and counts the outcomes.

#ifndef STANDINS_BACKEND_SERVER_H_
#define STANDINS_BACKEND_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/random.h"
#include "StandIns/deadline_timer.h"
#include "StandIns/health_server.h"
#include "StandIns/line_commands.h"
#include "StandIns/load_history.h"
#include "StandIns/server_connection.h"
#include "StandIns/udp_port.h"
#include "StandIns/work_queue.h"

namespace stand_ins {

class EventLoop;
struct TcpPacket;

struct BackendServerOptions {
  base::Ipv4Address m_address;
  std::uint16_t m_tunnel_port = 0;
  std::string m_service;
  base::Endpoint m_service_address;
  std::string m_name;
  base::Endpoint m_gateway;
  std::size_t m_slots = 1;
  std::size_t m_connection_limit = 1;
  std::chrono::milliseconds m_cold_start{};
  std::chrono::milliseconds m_load_lag{};
  std::uint64_t m_seed = 0;
};

class BackendServer {
 public:
  // `loop` must outlive the server.
  BackendServer(EventLoop* loop, BackendServerOptions options);

  // Queries.
  JsonLine ListeningLine() const;
  JsonLine ReportLine() const;
  JsonLine ExecutionsLine() const;
  JsonLine ConnectionsLine() const;

  // Commands.
  base::Outcome<void> Open();
  void AddCommands(LineCommands* commands);

 private:
  struct Peer {
    Peer(ServerConnection connection,
         base::TimerService* timers,
         DeadlineTimer::Callback callback)
        : m_connection(std::move(connection)),
          m_timer(timers, std::move(callback)) {}

    ServerConnection m_connection;
    DeadlineTimer m_timer;
    std::optional<JobId> m_job;
  };

  enum class Drain {
    kNone,
    kRefusing,   // the server refuses openings
    kAccepting,  // only the health endpoint reports the draining
  };

  struct Counters {
    std::uint64_t m_openings = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused_limit = 0;
    std::uint64_t m_refused_draining = 0;
    std::uint64_t m_refused_shedding = 0;
    std::uint64_t m_accepted_after_drain = 0;
    std::chrono::milliseconds m_last_opening_after_drain{};
    std::chrono::milliseconds m_last_accepted_after_drain{};
    std::uint64_t m_foreign_packets = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_executions = 0;
    std::uint64_t m_not_run = 0;
    std::uint64_t m_cancelled_queued = 0;
    std::uint64_t m_cancelled_running = 0;
    std::uint64_t m_unknown_connection = 0;
    std::uint64_t m_timed_out = 0;
  };

  // Queries.
  LoadReport CurrentLoad() const;
  std::string LoadBody() const;
  HealthServer::Response HealthResponse() const;
  std::uint64_t RepeatedExecutions() const;

  // Packets.
  void HandleDatagram(UdpPort::Bytes datagram);
  void HandlePacketWithoutConnection(const TcpPacket& packet,
                                     base::TimePoint now);
  void HandleOpening(const TcpPacket& packet, base::TimePoint now);
  bool RefuseOpening();
  void Accept(const TcpPacket& packet, base::TimePoint now);
  void SendSegment(const TcpSegment& segment, base::Endpoint caller);

  // Connections.
  void HandleTimer(base::Endpoint caller, base::TimePoint now);
  // Submits the request if it has arrived, sends the due segments and removes
  // the connection if it is closed.
  void Update(base::Endpoint caller, base::TimePoint now);
  void SubmitRequest(base::Endpoint caller, Peer* peer, base::TimePoint now);
  void RemoveConnection(base::Endpoint caller);
  void AdvanceWork(base::TimePoint now);
  void HandleJobEvent(const JobEvent& event, base::TimePoint now);

  // Handlers of line commands.
  CommandResult StartDrain(const LineCommands::Words& words);
  CommandResult ReplaceService(const LineCommands::Words& words);
  CommandResult SetFalseLoad(const LineCommands::Words& words);

  EventLoop* m_loop;
  BackendServerOptions m_options;
  base::Random m_random;
  std::unique_ptr<UdpPort> m_tunnel;
  std::unique_ptr<HealthServer> m_health;
  std::unordered_map<base::Endpoint, std::unique_ptr<Peer>> m_peers;
  std::unordered_map<JobId, base::Endpoint> m_callers_of_jobs;
  std::uint64_t m_next_job = 1;
  WorkQueue m_work;
  DeadlineTimer m_work_timer;
  LoadHistory m_load_history;
  std::optional<std::uint64_t> m_false_busy;
  Drain m_drain = Drain::kNone;
  base::TimePoint m_drain_start;
  bool m_shedding = false;
  bool m_silent = false;
  std::vector<std::uint64_t> m_executions;
  Counters m_counters;
};

}  // namespace stand_ins

#endif  // STANDINS_BACKEND_SERVER_H_
