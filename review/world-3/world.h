// Stand-ins for the scripts of the third review: the platform's store, the
// router, backend servers and callers, and the start of balancer processes.
// Everything runs on loopback addresses.

#ifndef REVIEW_WORLD_3_WORLD_H_
#define REVIEW_WORLD_3_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Writes what happens to record.txt.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Write(const std::string& line);
  double Now() const;

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
  Clock::time_point m_start = Clock::now();
};

struct Address {
  std::uint32_t m_ip = 0;
  std::uint16_t m_port = 0;
  friend auto operator<=>(const Address&, const Address&) = default;
};
std::string IpText(std::uint32_t ip);
std::string Text(Address address);

// A packet of PROTOCOL.md.
struct Packet {
  static constexpr std::size_t kHeaderBytes = 31;
  static constexpr std::uint8_t kSyn = 1;
  static constexpr std::uint8_t kAck = 2;
  static constexpr std::uint8_t kFin = 4;
  static constexpr std::uint8_t kRst = 8;
  Address m_source;
  Address m_destination;
  std::uint32_t m_sum = 0;
  std::uint32_t m_echo = 0;
  std::uint8_t m_flags = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
  std::string m_data;

  bool Has(std::uint8_t flag) const { return (m_flags & flag) != 0; }
  // The sum that the sender writes.
  std::uint32_t ExpectedSum() const;
  std::string Encode() const;
  static std::optional<Packet> Decode(const char* bytes, std::size_t size);
};

int OpenUdp(Address address);
int OpenTcpListener(Address address, int backlog = 64);
void SendUdp(int socket, Address to, const std::string& bytes);
// The body and status of a GET; status 0 without a response.
std::pair<int, std::string> HttpGet(Address address,
                                    const std::string& path,
                                    Millis timeout);

// The platform's store. Each balancer reaches it at an address of its own, so
// that a path can be cut.
class Store {
 public:
  explicit Store(Record& record) : m_record(record) {}
  ~Store();
  // Opens the path of a balancer.
  void Listen(std::size_t balancer, Address address);
  // A write. Its return is the acknowledgement.
  std::uint64_t Put(const std::string& kind,
                    const std::string& name,
                    const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // While a path is cut, nothing passes on it in either direction.
  void SetCut(std::size_t balancer, bool is_cut);
  // The balancers that have had a watch on the servers open of late.
  std::set<std::size_t> Watchers() const;

 private:
  struct Object {
    std::uint64_t m_revision = 0;
    std::string m_spec;
  };
  struct Event {
    std::uint64_t m_revision = 0;
    std::string m_kind;
    std::string m_json;
  };
  struct Path {
    int m_listener = -1;
    std::atomic<bool> m_is_cut = false;
    std::atomic<std::int64_t> m_watched_at = 0;
  };
  void Accept(std::size_t balancer);
  void Serve(std::size_t balancer, int socket);
  std::string Respond(std::size_t balancer,
                      const std::string& target,
                      std::string& status);
  static std::string ToJson(const std::string& name, const Object& object);
  void WaitWhileCut(const Path& path) const;

  Record& m_record;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 100;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_events;
  std::map<std::size_t, std::unique_ptr<Path>> m_paths;
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_is_stopped = false;
};

// A backend server that answers each request after `work`.
class Server {
 public:
  Server(Record& record,
         std::string id,
         std::string service,
         std::string zone,
         Address address,
         Millis work);
  ~Server();
  const std::string& id() const { return m_id; }
  std::string Spec(const std::string& state) const;
  // Whether the flow of a caller is open here.
  bool IsOpen(Address caller) const;
  // Whether a request has run here.
  bool HasRun(const std::string& request) const;

 private:
  struct Flow {
    std::uint32_t m_sequence = 0;
    std::uint32_t m_expected = 0;
    std::uint32_t m_echo = 0;
    bool m_is_open = false;
    std::string m_input;
    std::string m_last_answer;
    std::uint32_t m_last_answer_sequence = 0;
  };
  void Receive();
  void Handle(const std::string& identity, const Packet& packet, Address from);
  void Answer(Address caller);
  void SendTo(const Packet& request,
              Flow& flow,
              std::uint8_t flags,
              std::uint32_t sequence,
              const std::string& data);
  void ServeHealth();

  Record& m_record;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  Address m_address;
  Millis m_work;
  std::uint64_t m_born;
  int m_udp = -1;
  int m_tcp = -1;
  mutable std::mutex m_mutex;
  std::map<Address, Flow> m_flows;
  std::map<Address, Packet> m_waiting;
  std::vector<std::pair<Clock::time_point, Address>> m_work_queue;
  std::set<std::string> m_runs;
  std::atomic<bool> m_is_stopped = false;
  std::vector<std::thread> m_threads;
};

struct Node {
  std::size_t m_index = 0;
  std::string m_name;
  std::string m_zone;
  std::uint32_t m_ip = 0;
  Address m_store;
  pid_t m_pid = -1;
  // As the platform sees it.
  int m_misses = 2;
  bool m_is_in_rotation = false;

  Address Packets() const { return {m_ip, 8172}; }
  Address Ready() const { return {m_ip, 8167}; }
  Address Control() const { return {m_ip, 8166}; }
};

struct Bounds {
  int m_drain_ms = 3000;
  int m_config_ms = 3000;
  int m_window_ms = 4000;
};

// The balancers, and the router that polls them twice a second.
class Fleet {
 public:
  Fleet(Record& record,
        Store& store,
        std::string program,
        std::string folder,
        std::uint8_t octet,
        Bounds bounds);
  ~Fleet();
  // Adds a machine. It is not started.
  std::size_t Add(const std::string& zone, std::uint32_t ip);
  void SetZones(std::vector<std::string> zones) { m_zones = std::move(zones); }
  void SetSeeds(std::vector<std::size_t> seeds) { m_seeds = std::move(seeds); }
  void Start(std::size_t node);
  void Signal(std::size_t node, int signal);
  // Starts the polls; further polls follow every 500 ms from `first`.
  void StartRouter(Clock::time_point first);
  // The node that gets a packet of a caller in `zone`.
  std::optional<Address> Route(const std::string& zone, const Packet& packet);
  bool AllReady();
  std::string Status(std::size_t node);
  const Node& node(std::size_t index) const { return *m_nodes[index]; }
  std::size_t size() const { return m_nodes.size(); }
  std::optional<std::size_t> ByIp(std::uint32_t ip) const;
  void StopAll();

 private:
  void Poll();

  Record& m_record;
  Store& m_store;
  std::string m_program;
  std::string m_folder;
  std::uint8_t m_octet;
  Bounds m_bounds;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::string> m_zones;
  std::vector<std::size_t> m_seeds;
  std::thread m_router;
  std::atomic<bool> m_is_stopped = false;
};

// What a caller saw of one flow.
struct FlowResult {
  bool m_is_open = false;
  bool m_was_refused = false;
  // A reset that the flow's server did not send, on the open flow.
  std::optional<std::uint32_t> m_reset_by;
  double m_reset_at = 0;
  int m_answers = 0;
  std::string m_unanswered_request;
};

// Callers at one address. Each flow sends a request, waits for the answer,
// pauses and repeats, until it is told to end.
class Callers {
 public:
  Callers(Record& record, Fleet& fleet, std::string zone, Address address);
  ~Callers();
  struct Plan {
    Address m_target;
    int m_requests = 10;
    Millis m_pause{150};
    Millis m_time_limit{2000};
  };
  // Returns the port of the new flow.
  std::uint16_t Open(const Plan& plan);
  std::map<std::uint16_t, FlowResult> Results();

 private:
  struct Flow {
    Plan m_plan;
    FlowResult m_result;
    std::uint16_t m_port = 0;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgement = 0;
    std::uint32_t m_server_sequence = 0;
    std::uint32_t m_echo = 0;
    int m_syns = 0;
    int m_requests_sent = 0;
    bool m_is_waiting = false;
    bool m_is_done = false;
    std::string m_request;
    std::string m_request_id;
    std::string m_received;
    Clock::time_point m_opened_at;
    Clock::time_point m_next_at;
    Clock::time_point m_request_at;
    Millis m_retransmit_after{200};
  };
  void Run();
  void Handle(const Packet& packet, Address from);
  void Advance(Flow& flow, Clock::time_point now);
  void Send(Flow& flow,
            std::uint8_t flags,
            std::uint32_t sequence,
            const std::string& data);

  Record& m_record;
  Fleet& m_fleet;
  std::string m_zone;
  Address m_address;
  int m_udp = -1;
  std::mutex m_mutex;
  std::map<std::uint16_t, Flow> m_flows;
  std::uint16_t m_next_port = 20000;
  std::uint32_t m_next_request = 1;
  std::atomic<bool> m_is_stopped = false;
  std::thread m_thread;
};

// An octet X such that no process uses the addresses 127.X.0.0/16.
std::uint8_t FreeOctet();
constexpr std::uint32_t Ip(std::uint8_t octet, std::uint8_t c, std::uint8_t d) {
  return (127U << 24) | (std::uint32_t{octet} << 16) | (std::uint32_t{c} << 8) |
         d;
}

}  // namespace world

#endif  // REVIEW_WORLD_3_WORLD_H_
