// A small deployment in one process: the platform's store, the backend servers,
// the callers, the routers and the operator, as the users' pages describe them.
// The balancers are real processes. All addresses are loopback addresses.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace world {

using Ms = std::int64_t;
using Bytes = std::string;

struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string IpText(std::uint32_t ip);
std::string Text(Address address);

// Milliseconds since the start of the program.
Ms Now();

// Sockets and timers of one thread.
class Loop {
 public:
  Loop();
  void Watch(int fd,
             std::uint32_t events,
             std::function<void(std::uint32_t)> handler);
  void Change(int fd, std::uint32_t events);
  void Forget(int fd);
  void At(Ms time, std::function<void()> handler);
  void After(Ms delay, std::function<void()> handler) {
    At(Now() + delay, std::move(handler));
  }
  void RunUntil(Ms end);

 private:
  int m_epoll;
  std::map<int, std::shared_ptr<std::function<void(std::uint32_t)>>> m_handlers;
  std::multimap<Ms, std::function<void()>> m_timers;
};

// The file record.txt: the requests that were sent (s), run (r) and answered
// (a), and what else happened.
void OpenRecord(const std::string& path);
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));

int UdpSocket(Address address);
int TcpListener(Address address);

struct HttpRequest {
  std::string path;
  std::map<std::string, std::string> query;
};
// One request for each connection.
class HttpServer {
 public:
  // Answers later or at once; an empty `answer` closes the connection.
  using Reply = std::function<
      void(int status, const std::string& headers, const std::string& body)>;
  using Handler = std::function<void(const HttpRequest&, const Reply&)>;
  HttpServer(Loop& loop, Address address, Handler handler);
  ~HttpServer();

 private:
  struct Connection;
  void Accept();
  Loop& m_loop;
  int m_fd;
  Handler m_handler;
  std::shared_ptr<std::set<int>> m_open = std::make_shared<std::set<int>>();
};

// The platform's store.
class Store {
 public:
  Store(Loop& loop, Address address);
  // Returns the revision of the change. A write that changes nothing but seq
  // does not change the entry.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  // Cuts off all watches that wait.
  void CutWatches();
  void Remove(const std::string& kind, const std::string& name);
  // Decides about a call before it is answered: true if it was taken over.
  using Fault =
      std::function<bool(const HttpRequest&, const HttpServer::Reply&)>;
  void SetFault(Fault fault) { m_fault = std::move(fault); }
  std::uint64_t Calls() const { return m_calls; }

 private:
  struct Object {
    std::uint64_t revision;
    std::string spec;
  };
  struct Event {
    std::uint64_t revision;
    std::string kind;
    std::string json;
    Ms at;
  };
  struct Watch {
    std::string kind;
    std::uint64_t since;
    HttpServer::Reply reply;
  };
  void Handle(const HttpRequest& request, const HttpServer::Reply& reply);
  void List(const HttpRequest& request,
            const std::string& kind,
            const HttpServer::Reply& reply);
  bool AnswerWatch(const Watch& watch, bool is_due);
  void AddEvent(const std::string& kind, const std::string& json);
  Loop& m_loop;
  std::uint64_t m_revision = 100;
  std::uint64_t m_calls = 0;
  std::uint64_t m_first_kept = 100;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::deque<Event> m_events;
  std::map<std::uint64_t, Watch> m_watches;
  std::uint64_t m_next_watch = 0;
  Fault m_fault;
  std::unique_ptr<HttpServer> m_server;
};

struct Packet {
  Address source;
  Address destination;
  std::uint32_t sum = 0;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  Bytes data;
};
inline constexpr std::uint8_t kSyn = 1, kAck = 2, kFin = 4, kRst = 8;
Bytes Encode(Packet packet);  // with the sum of the sender
std::optional<Packet> Decode(const char* bytes, std::size_t size);
bool HasValidSum(const Packet& packet);

// A document of another writer that ends in the middle: a tree of 200 levels
// with 1,000 bytes each.
std::string UnreadableBytes(int number);

struct FlowKey {
  Address caller;
  Address route;
  auto operator<=>(const FlowKey&) const = default;
};

class World;

// One backend server: a slot of the deployment that may start several times.
class Server {
 public:
  Server(World& world,
         std::string service,
         std::string zone,
         Address address,
         int slots);
  void Start(const std::string& id);
  // Announces draining, leaves `after` later, then calls `then`.
  void Drain(Ms after, std::function<void()> then);
  // Ends without a word; the entry stays until the caller removes it.
  void Crash();
  bool IsUp() const { return m_fd >= 0; }
  const std::string& id() const { return m_id; }
  // Whether this lifetime of the server has the flow open.
  bool HasOpen(const FlowKey& key) const;
  std::uint64_t Lifetime() const { return m_lifetime; }
  Ms StartedAt() const { return m_started_at; }
  // When the store acknowledged that the server drains; -1 if it does not.
  Ms DrainedAt() const { return m_state == "draining" ? m_drained_at : -1; }
  Ms m_work_ms = 20;
  std::uint64_t m_resets_sent = 0;

 private:
  struct Flow {
    bool is_open = false;
    std::uint32_t next_seq = 0;
    std::uint32_t expected = 0;
    std::uint32_t echo = 0;
    bool has_fin = false;
    Bytes unacked;
    std::uint32_t unacked_seq = 0;
    int retransmissions = 0;
  };
  void WriteEntry();
  void Beat(std::uint64_t lifetime);
  void OnReadable();
  void Handle(const Packet& packet);
  void Send(const FlowKey& key,
            Flow& flow,
            std::uint8_t flags,
            const Bytes& data);
  void SendReset(const Packet& to);
  void Respond(const FlowKey& key, const std::string& request_id);
  void Retransmit(const FlowKey& key,
                  std::uint64_t lifetime,
                  std::uint32_t seq,
                  Ms wait);
  void Stop();
  World& m_world;
  friend class World;
  std::string m_service, m_zone, m_id, m_state;
  Address m_address;
  int m_slots;
  int m_fd = -1;
  std::uint64_t m_lifetime = 0, m_seq = 0;
  Ms m_born = 0;
  Ms m_started_at = 0;
  Ms m_drained_at = -1;
  std::unique_ptr<HttpServer> m_health;
  std::map<FlowKey, Flow> m_flows;
  std::set<std::string> m_ran;
};

// One balancer: a real process.
class Balancer {
 public:
  Balancer(World& world, std::string name, std::string zone, std::uint32_t ip);
  void Start();
  // SIGTERM, SIGKILL after grace_s, and a new start `pause` after the end.
  void Roll(Ms pause);
  void Signal(int signal);
  bool IsInRotation() const { return m_is_in_rotation; }
  std::uint32_t ip() const { return m_ip; }
  const std::string& zone() const { return m_zone; }
  const std::string& name() const { return m_name; }
  pid_t pid() const { return m_pid; }
  void Poll();
  // The balancer's own status; empty if it does not respond.
  std::string Status() const;
  // The machine is lost for good.
  void Lose();
  void Reap();
  void SetRestartPause(Ms pause) { m_restart_pause = pause; }
  void Kill();

 private:
  World& m_world;
  std::string m_name, m_zone;
  std::uint32_t m_ip;
  pid_t m_pid = -1;
  friend class World;
  bool m_is_end_expected = false;
  Ms m_kill_at = 0;
  Ms m_restart_pause = 300;
  int m_misses = 2;
  bool m_is_in_rotation = false;
  bool m_is_lost = false;
  int m_starts = 0;
  int m_poll_fd = -1;
  std::uint64_t m_poll_number = 0;
};

struct Request {
  std::string id;
  Ms sent_at = 0;
};

// A caller's flow with several requests.
class CallerFlow {
 public:
  struct Plan {
    Address route;
    std::string zone;
    int requests = 10;
    Ms think_ms = 100;
    Ms limit_ms = 1500;
  };
  CallerFlow(World& world, Address self, const Plan& plan);
  void Handle(const Packet& packet);
  bool IsEnded() const { return m_is_ended; }
  const FlowKey& key() const { return m_key; }
  Ms m_opened_at = -1;

 private:
  void SendSyn(std::uint32_t copy);
  void SendRequest();
  void SendPacket(std::uint8_t flags, const Bytes& data, std::uint32_t seq);
  void Retransmit(std::uint32_t seq, Ms wait);
  void End(const char* how);
  World& m_world;
  FlowKey m_key;
  Plan m_plan;
  std::uint32_t m_seq, m_next = 0, m_ack = 0, m_echo = 0;
  bool m_is_established = false, m_is_ended = false;
  Bytes m_outstanding, m_received;
  std::uint32_t m_outstanding_seq = 0;
  int m_sent = 0;
  Request m_request;
  std::size_t m_attempt = 0;
  int m_left = 0;
};

struct Settings {
  std::string binary;
  std::string folder;
  bool has_trouble = true;
};

class World {
 public:
  explicit World(Settings settings);
  ~World();
  // Sets up; ends the program with 2 if the case cannot run.
  Balancer& AddBalancer(const std::string& zone);
  Server& AddServer(const std::string& service,
                    const std::string& zone,
                    int slots = 3);
  Address AddRoute(const std::string& service, const std::string& type);
  void DropRoute(Address route);
  void PutRoute(Address route,
                const std::string& service,
                const std::string& type);
  void WriteManifest();
  void StartBalancers();
  std::string SettingsText(const Balancer& balancer) const;
  // Keeps `count` flows open.
  void KeepFlows(int count, const CallerFlow::Plan& plan, Ms until);
  void RunUntil(Ms end) { loop.RunUntil(end); }
  // Ends all processes.
  void Stop();
  // Where the routers send a packet of the flow.
  Balancer* Route(const std::string& zone, const FlowKey& key);
  void SendToBalancer(const std::string& zone,
                      const FlowKey& key,
                      const Bytes& packet,
                      int fd);
  bool AreAllInRotation() const;
  // The server that has the flow open.
  Server* OwnerOf(const FlowKey& key);
  std::string NewId();
  // A caller received a reset that no server sent.
  void OnSystemReset(const CallerFlow& flow,
                     const Packet& packet,
                     bool is_open_at_caller);
  void Broken(const char* format, ...) __attribute__((format(printf, 2, 3)));

  Loop loop;
  Settings settings;
  std::mt19937_64 random;
  std::uint32_t base_ip = 0;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Balancer>> balancers;
  std::vector<std::unique_ptr<Server>> servers;
  std::map<std::string, std::string> zones;
  std::vector<std::string> seeds_zones;
  int broken = 0;
  int unexpected_ends = 0;
  std::uint64_t answered = 0, failed = 0, opened = 0, refused = 0, ran = 0;
  std::map<std::string, int> runs_of;
  // All requests of the callers; a flow that never opened counts as one.
  struct Attempt {
    Ms sent_at;
    bool is_served;
  };
  std::vector<Attempt> attempts;
  // How many of the requests sent in [from, until) were served, and how many
  // were sent.
  std::pair<int, int> ServedBetween(Ms from, Ms until) const;
  // Of FLOW: also servers count as living from `m_quiet_ms` after their start.
  std::function<void(const CallerFlow&, const Packet&, Server*)>
      on_reset_of_open_flow;
  // A server has the end of the handshake of a flow.
  std::function<void(const FlowKey&, Server&)> on_flow_opened;
  // When a caller sent its first opening packet, and through which balancer.
  struct Opening {
    Ms sent_at;
    std::string balancer;
  };
  std::map<FlowKey, Opening> openings;
  std::map<FlowKey, std::pair<std::string, Ms>> last_balancer;

 private:
  struct CallerHost {
    std::uint32_t ip;
    int fd;
  };
  void OnCallerReadable(CallerHost& host);
  struct RouteEntry {
    std::string service, type;
  };
  std::map<Address, RouteEntry> m_routes;
  std::uint64_t m_version = 3;
  std::vector<CallerHost> m_hosts;
  std::map<FlowKey, std::unique_ptr<CallerFlow>> m_flows;
  std::uint16_t m_next_port = 20000;
  int m_next_server = 0;
  int m_next_route = 1;
  friend class CallerFlow;
  friend class Balancer;
};

inline constexpr std::uint16_t kPacketPort = 8172, kReadyPort = 8167,
                               kControlPort = 8166, kStorePort = 8169,
                               kServerPort = 8080;

}  // namespace world
