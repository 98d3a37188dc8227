#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <sstream>

namespace world {

namespace {

constexpr std::size_t kListPage = 50;
constexpr Millis kRouterPeriod{500};
constexpr Millis kFirstRetransmission{200};
constexpr Millis kLongestRetransmission{1600};

sockaddr_in ToSockaddr(Address address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.m_ip);
  result.sin_port = htons(address.m_port);
  return result;
}

Address FromSockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

bool WaitReadable(int socket, Millis wait) {
  pollfd entry{socket, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(wait.count())) == 1;
}

void Append(std::string& text, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i)
    text.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t Read(const char* bytes, int count) {
  std::uint64_t value = 0;
  for (int i = count; i-- > 0;)
    value = (value << 8) | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::uint64_t Hash(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch())
      .count();
}

std::string QueryField(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos)
    return "";
  std::stringstream fields(target.substr(query + 1));
  std::string field;
  while (std::getline(fields, field, '&'))
    if (field.starts_with(name + "="))
      return field.substr(name.size() + 1);
  return "";
}

void SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return;
    sent += static_cast<std::size_t>(count);
  }
}

std::string Response(const std::string& status,
                     const std::string& body,
                     const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" +
         fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (m_file != nullptr)
    std::fclose(m_file);
}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  if (m_file == nullptr)
    return;
  std::fprintf(m_file, "%8.3f s  %s\n", Now(), line.c_str());
  std::fflush(m_file);
}

std::string IpText(std::uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 255) +
         "." + std::to_string((ip >> 8) & 255) + "." + std::to_string(ip & 255);
}

std::string Text(Address address) {
  return IpText(address.m_ip) + ":" + std::to_string(address.m_port);
}

std::uint32_t Packet::ExpectedSum() const {
  std::uint64_t sum = 0x5bd1e995;
  const auto add = [&sum](std::uint64_t value) { sum = Hash(sum ^ value); };
  add(m_source.m_ip);
  add(m_source.m_port);
  add(m_destination.m_ip);
  add(m_destination.m_port);
  add(m_flags);
  add(m_sequence);
  add(m_acknowledgement);
  for (const char byte : m_data)
    add(static_cast<unsigned char>(byte));
  return static_cast<std::uint32_t>(sum) | 1U;
}

std::string Packet::Encode() const {
  std::string text;
  Append(text, m_source.m_port, 2);
  Append(text, m_source.m_ip, 4);
  Append(text, m_destination.m_port, 2);
  Append(text, m_destination.m_ip, 4);
  Append(text, ExpectedSum(), 4);
  Append(text, m_echo, 4);
  Append(text, m_flags, 1);
  Append(text, m_data.size(), 2);
  Append(text, m_sequence, 4);
  Append(text, m_acknowledgement, 4);
  return text + m_data;
}

std::optional<Packet> Packet::Decode(const char* bytes, std::size_t size) {
  if (size < kHeaderBytes || size != kHeaderBytes + Read(bytes + 21, 2))
    return std::nullopt;
  Packet packet;
  packet.m_source = {static_cast<std::uint32_t>(Read(bytes + 2, 4)),
                     static_cast<std::uint16_t>(Read(bytes, 2))};
  packet.m_destination = {static_cast<std::uint32_t>(Read(bytes + 8, 4)),
                          static_cast<std::uint16_t>(Read(bytes + 6, 2))};
  packet.m_sum = static_cast<std::uint32_t>(Read(bytes + 12, 4));
  packet.m_echo = static_cast<std::uint32_t>(Read(bytes + 16, 4));
  packet.m_flags = static_cast<std::uint8_t>(bytes[20]);
  packet.m_sequence = static_cast<std::uint32_t>(Read(bytes + 23, 4));
  packet.m_acknowledgement = static_cast<std::uint32_t>(Read(bytes + 27, 4));
  packet.m_data.assign(bytes + kHeaderBytes, size - kHeaderBytes);
  return packet;
}

int OpenUdp(Address address) {
  const int result = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSockaddr(address);
  if (bind(result, reinterpret_cast<const sockaddr*>(&name), sizeof name) !=
      0) {
    close(result);
    return -1;
  }
  return result;
}

int OpenTcpListener(Address address, int backlog) {
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(result, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in name = ToSockaddr(address);
  if (bind(result, reinterpret_cast<const sockaddr*>(&name), sizeof name) !=
          0 ||
      listen(result, backlog) != 0) {
    close(result);
    return -1;
  }
  return result;
}

void SendUdp(int socket, Address to, const std::string& bytes) {
  const sockaddr_in name = ToSockaddr(to);
  sendto(socket, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&name), sizeof name);
}

std::pair<int, std::string> HttpGet(Address address,
                                    const std::string& path,
                                    Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  const int connection =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in name = ToSockaddr(address);
  std::pair<int, std::string> result{0, ""};
  if (connect(connection, reinterpret_cast<const sockaddr*>(&name),
              sizeof name) != 0 &&
      errno != EINPROGRESS) {
    close(connection);
    return result;
  }
  pollfd entry{connection, POLLOUT, 0};
  std::string text;
  if (poll(&entry, 1, static_cast<int>(timeout.count())) == 1 &&
      (entry.revents & (POLLERR | POLLHUP)) == 0) {
    SendAll(connection, "GET " + path + " HTTP/1.1\r\nHost: " + Text(address) +
                            "\r\nConnection: close\r\n\r\n");
    char buffer[4096];
    while (Clock::now() < deadline) {
      const auto left =
          std::chrono::duration_cast<Millis>(deadline - Clock::now());
      if (!WaitReadable(connection, std::max(left, Millis(1))))
        break;
      const ssize_t count = recv(connection, buffer, sizeof buffer, 0);
      if (count <= 0)
        break;
      text.append(buffer, static_cast<std::size_t>(count));
      const auto head = text.find("\r\n\r\n");
      const auto field = text.find("ontent-Length: ");
      if (head != std::string::npos && field < head &&
          text.size() >= head + 4 + std::stoul(text.substr(field + 15)))
        break;
    }
  }
  close(connection);
  const auto head = text.find("\r\n\r\n");
  if (head != std::string::npos && text.starts_with("HTTP/1.1 ")) {
    result.first = std::stoi(text.substr(9, 3));
    result.second = text.substr(head + 4);
  }
  return result;
}

Store::~Store() {
  m_is_stopped = true;
  m_changed.notify_all();
  for (auto& [balancer, path] : m_paths)
    shutdown(path->m_listener, SHUT_RDWR);
  for (std::thread& thread : m_threads)
    thread.join();
  // The threads of the connections end within their poll intervals.
  std::this_thread::sleep_for(Millis(300));
}

void Store::Listen(std::size_t balancer, Address address) {
  auto path = std::make_unique<Path>();
  path->m_listener = OpenTcpListener(address);
  m_paths[balancer] = std::move(path);
  m_threads.emplace_back([this, balancer] { Accept(balancer); });
}

std::string Store::ToJson(const std::string& name, const Object& object) {
  return R"({"meta":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.m_revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         object.m_spec + R"(,"status":null})";
}

std::uint64_t Store::Put(const std::string& kind,
                         const std::string& name,
                         const std::string& spec) {
  const std::lock_guard lock(m_mutex);
  Object& object = m_objects[kind][name];
  if (object.m_spec == spec)
    return object.m_revision;
  object = {++m_revision, spec};
  m_events.push_back(
      {m_revision, kind,
       R"({"object":)" + ToJson(name, object) + R"(,"deleted":false})"});
  m_record.Write("store: acknowledges " + kind + "/" + name + " " + spec);
  m_changed.notify_all();
  return m_revision;
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(m_mutex);
  Object object = m_objects[kind][name];
  m_objects[kind].erase(name);
  object.m_revision = ++m_revision;
  m_events.push_back(
      {m_revision, kind,
       R"({"object":)" + ToJson(name, object) + R"(,"deleted":true})"});
  m_record.Write("store: removes " + kind + "/" + name);
  m_changed.notify_all();
}

void Store::SetCut(std::size_t balancer, bool is_cut) {
  m_paths.at(balancer)->m_is_cut = is_cut;
}

std::set<std::size_t> Store::Watchers() const {
  std::set<std::size_t> watchers;
  for (const auto& [balancer, path] : m_paths)
    if (path->m_watched_at != 0 && NowMs() - path->m_watched_at < 2500)
      watchers.insert(balancer);
  return watchers;
}

void Store::Accept(std::size_t balancer) {
  const int listener = m_paths.at(balancer)->m_listener;
  while (!m_is_stopped) {
    if (!WaitReadable(listener, Millis(50)))
      continue;
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0)
      std::thread([this, balancer, socket] {
        Serve(balancer, socket);
        close(socket);
      }).detach();
  }
  close(listener);
}

void Store::WaitWhileCut(const Path& path) const {
  while (path.m_is_cut && !m_is_stopped)
    std::this_thread::sleep_for(Millis(5));
}

void Store::Serve(std::size_t balancer, int socket) {
  const Path& path = *m_paths.at(balancer);
  std::string text;
  char buffer[4096];
  while (!m_is_stopped && text.find("\r\n\r\n") == std::string::npos) {
    if (!WaitReadable(socket, Millis(50)))
      continue;
    WaitWhileCut(path);
    const ssize_t count = recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0)
      return;
    text.append(buffer, static_cast<std::size_t>(count));
  }
  const auto start = text.find(' ');
  const auto end = text.find(' ', start + 1);
  if (!text.starts_with("GET ") || end == std::string::npos)
    return;
  std::string status = "200 OK";
  const std::string body =
      Respond(balancer, text.substr(start + 1, end - start - 1), status);
  WaitWhileCut(path);
  if (!m_is_stopped)
    SendAll(socket, Response(status, body, "Connection: close\r\n"));
}

std::string Store::Respond(std::size_t balancer,
                           const std::string& target,
                           std::string& status) {
  const std::string prefix = "/-/objects/";
  const std::string path = target.substr(0, target.find('?'));
  if (!path.starts_with(prefix)) {
    status = "404 Not Found";
    return R"({"error":"no such path"})";
  }
  const std::string kind = path.substr(prefix.size());
  const std::string watch = QueryField(target, "watch");
  std::unique_lock lock(m_mutex);
  if (watch.empty()) {
    const std::string after = QueryField(target, "after");
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    for (const auto& [name, object] : m_objects[kind]) {
      if (!after.empty() && name <= after)
        continue;
      if (count++ == kListPage) {
        has_more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + ToJson(name, object);
    }
    return R"({"items":[)" + items + R"(],"more":)" +
           (has_more ? "true" : "false") + R"(,"store_revision":)" +
           std::to_string(m_revision) + "}";
  }
  const std::uint64_t since = std::stoull(watch);
  const std::string wait = QueryField(target, "wait_ms");
  const auto deadline =
      Clock::now() + Millis(wait.empty() ? 0 : std::stoll(wait));
  Path& reader = *m_paths.at(balancer);
  if (kind == "servers")
    reader.m_watched_at = NowMs();
  while (true) {
    std::string events;
    for (const Event& event : m_events)
      if (event.m_kind == kind && event.m_revision > since)
        events += (events.empty() ? "" : ",") + event.m_json;
    if (!events.empty() || Clock::now() >= deadline || m_is_stopped)
      return R"({"events":[)" + events + R"(],"store_revision":)" +
             std::to_string(m_revision) + "}";
    m_changed.wait_until(lock, deadline);
  }
}

Server::Server(Record& record,
               std::string id,
               std::string service,
               std::string zone,
               Address address,
               Millis work)
    : m_record(record),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_address(address),
      m_work(work),
      m_born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<Millis>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())),
      m_udp(OpenUdp(address)),
      m_tcp(OpenTcpListener(address)) {
  m_threads.emplace_back([this] { Receive(); });
  m_threads.emplace_back([this] { ServeHealth(); });
}

Server::~Server() {
  m_is_stopped = true;
  for (std::thread& thread : m_threads)
    thread.join();
  close(m_udp);
  close(m_tcp);
}

std::string Server::Spec(const std::string& state) const {
  return R"({"backend":")" + m_service + R"(","address":")" + Text(m_address) +
         R"(","zone":")" + m_zone +
         R"(","version":"v1","max_concurrency":3,"state":")" + state +
         R"(","warmup_left_ms":0,"seq":1,"born":)" + std::to_string(m_born) +
         "}";
}

bool Server::IsOpen(Address caller) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_flows.find(caller);
  return found != m_flows.end() && found->second.m_is_open;
}

bool Server::HasRun(const std::string& request) const {
  const std::lock_guard lock(m_mutex);
  return m_runs.contains(request);
}

void Server::Receive() {
  char buffer[2048];
  while (!m_is_stopped) {
    if (WaitReadable(m_udp, Millis(2))) {
      sockaddr_in name{};
      socklen_t size = sizeof name;
      const ssize_t count = recvfrom(m_udp, buffer, sizeof buffer, 0,
                                     reinterpret_cast<sockaddr*>(&name), &size);
      if (count > 8) {
        auto packet =
            Packet::Decode(buffer + 8, static_cast<std::size_t>(count) - 8);
        if (packet)
          Handle(std::string(buffer, 8), *packet, FromSockaddr(name));
      }
    }
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_work_queue.begin(); entry != m_work_queue.end();) {
      if (entry->first > Clock::now()) {
        ++entry;
        continue;
      }
      const Address caller = entry->second;
      entry = m_work_queue.erase(entry);
      Answer(caller);
    }
  }
}

void Server::Handle(const std::string& identity,
                    const Packet& packet,
                    Address from) {
  std::string own;
  const std::uint64_t number = std::stoull(m_id, nullptr, 16);
  for (int i = 7; i >= 0; --i)
    own.push_back(static_cast<char>(number >> (8 * i)));
  if (identity != own && identity != std::string(8, '\0'))
    return;
  if (packet.m_sum != packet.ExpectedSum())
    m_record.Write("server " + m_id + ": a packet from " + IpText(from.m_ip) +
                   " is not as its sender wrote it");
  const std::lock_guard lock(m_mutex);
  const Address caller = packet.m_source;
  if (packet.Has(Packet::kSyn)) {
    Flow& flow = m_flows[caller];
    if (flow.m_sequence == 0) {
      flow.m_sequence =
          static_cast<std::uint32_t>(Hash(packet.m_sequence + number + m_born));
      flow.m_expected = packet.m_sequence + 1;
    }
    flow.m_echo = packet.m_echo;
    SendTo(packet, flow, Packet::kSyn | Packet::kAck, flow.m_sequence, "");
    return;
  }
  const auto found = m_flows.find(caller);
  if (found == m_flows.end()) {
    if (packet.Has(Packet::kRst))
      return;
    m_record.Write("server " + m_id + ": resets port " +
                   std::to_string(caller.m_port) + ", a flow not held here");
    Flow none;
    SendTo(packet, none, Packet::kRst, packet.m_acknowledgement, "");
    return;
  }
  Flow& flow = found->second;
  if (packet.Has(Packet::kRst)) {
    m_flows.erase(found);
    return;
  }
  // Another server's answer to the opening was taken.
  if (!flow.m_is_open && packet.m_acknowledgement != flow.m_sequence + 1) {
    m_flows.erase(found);
    return;
  }
  if (!flow.m_is_open)
    m_record.Write("server " + m_id + ": flow of port " +
                   std::to_string(caller.m_port) + " is open, through " +
                   IpText(from.m_ip));
  flow.m_is_open = true;
  flow.m_echo = packet.m_echo;
  if (packet.Has(Packet::kFin)) {
    SendTo(packet, flow, Packet::kAck | Packet::kFin, flow.m_sequence + 1, "");
    m_flows.erase(found);
    return;
  }
  if (packet.m_data.empty())
    return;
  if (packet.m_sequence != flow.m_expected) {
    // A copy of what has been received.
    if (!flow.m_last_answer.empty() && m_waiting.count(caller) == 0)
      SendTo(packet, flow, Packet::kAck, flow.m_last_answer_sequence,
             flow.m_last_answer);
    return;
  }
  flow.m_expected += static_cast<std::uint32_t>(packet.m_data.size());
  flow.m_input = packet.m_data;
  const auto id = packet.m_data.find("Request-Id: ");
  const std::string request =
      packet.m_data.substr(id + 12, packet.m_data.find("\r\n", id) - id - 12);
  m_record.Write("server " + m_id + ": runs " + request + " of port " +
                 std::to_string(caller.m_port) + ", through " +
                 IpText(from.m_ip));
  m_runs.insert(request);
  m_waiting[caller] = packet;
  m_work_queue.emplace_back(Clock::now() + m_work, caller);
}

void Server::Answer(Address caller) {
  const auto found = m_flows.find(caller);
  const auto waiting = m_waiting.find(caller);
  if (found == m_flows.end() || waiting == m_waiting.end())
    return;
  Flow& flow = found->second;
  const std::string answer = "HTTP/1.1 200 OK\r\nServer-Seal: " + m_id +
                             "\r\nContent-Length: 2\r\n\r\nok";
  const std::uint32_t sequence =
      flow.m_last_answer.empty()
          ? flow.m_sequence + 1
          : flow.m_last_answer_sequence +
                static_cast<std::uint32_t>(flow.m_last_answer.size());
  flow.m_last_answer = answer;
  flow.m_last_answer_sequence = sequence;
  SendTo(waiting->second, flow, Packet::kAck, sequence, answer);
  m_waiting.erase(waiting);
}

void Server::SendTo(const Packet& request,
                    Flow& flow,
                    std::uint8_t flags,
                    std::uint32_t sequence,
                    const std::string& data) {
  Packet packet;
  packet.m_source = request.m_destination;
  packet.m_destination = request.m_source;
  packet.m_echo = flow.m_echo;
  packet.m_flags = flags;
  packet.m_sequence = sequence;
  packet.m_acknowledgement = flow.m_expected;
  packet.m_data = data;
  // The port that the settings name for the packets of callers.
  SendUdp(m_udp, {request.m_source.m_ip, 8172}, packet.Encode());
}

void Server::ServeHealth() {
  while (!m_is_stopped) {
    if (!WaitReadable(m_tcp, Millis(50)))
      continue;
    const int socket = accept4(m_tcp, nullptr, nullptr, SOCK_CLOEXEC);
    char buffer[2048];
    if (WaitReadable(socket, Millis(100)) &&
        recv(socket, buffer, sizeof buffer, 0) > 0)
      SendAll(socket,
              Response("200 OK", "{}",
                       "Instance-Id: " + m_id + "\r\nConnection: close\r\n"));
    close(socket);
  }
}

Fleet::Fleet(Record& record,
             Store& store,
             std::string program,
             std::string folder,
             std::uint8_t octet,
             Bounds bounds)
    : m_record(record),
      m_store(store),
      m_program(std::move(program)),
      m_folder(std::move(folder)),
      m_octet(octet),
      m_bounds(bounds) {}

Fleet::~Fleet() {
  StopAll();
}

std::size_t Fleet::Add(const std::string& zone, std::uint32_t ip) {
  auto node = std::make_unique<Node>();
  node->m_index = m_nodes.size();
  node->m_name = "front-" + zone + "-" + std::to_string(node->m_index);
  node->m_zone = zone;
  node->m_ip = ip;
  node->m_store = {
      Ip(m_octet, 250, static_cast<std::uint8_t>(node->m_index + 1)), 8169};
  m_store.Listen(node->m_index, node->m_store);
  const std::lock_guard lock(m_mutex);
  m_nodes.push_back(std::move(node));
  return m_nodes.size() - 1;
}

void Fleet::Start(std::size_t index) {
  Node& node = *m_nodes[index];
  const std::string path = m_folder + "/" + node.m_name + ".json";
  std::ofstream file(path);
  const std::string ip = IpText(node.m_ip);
  file << R"({"node_name":")" << node.m_name
       << R"(","role":"edge","machine_class":"front",)"
       << R"("serves":["front","control"],"ip":")" << ip << R"(","zone":")"
       << node.m_zone << R"(","region":"r-1","zones":{)";
  for (std::size_t i = 0; i < m_zones.size(); ++i)
    file << (i == 0 ? "" : ",") << '"' << m_zones[i] << R"(":"r-1")";
  file << R"(},"listen":{"datagram_addr":")" << ip << R"(:8172","ready_addr":")"
       << ip << R"(:8167","control":")" << ip
       << R"(:8166"},"internal_ports":[7720,7735],"seeds":[)";
  for (std::size_t i = 0; i < m_seeds.size(); ++i)
    file << (i == 0 ? "" : ",") << '"' << Text(m_nodes[m_seeds[i]]->Control())
         << '"';
  file << R"(],"bootstrap":false,"counts_for_tolerance":false,)"
       << R"("limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,)"
       << R"("max_fds":4100,"link_mbps":1000.0,"disk_mb":0},"data_dir":null,)"
       << R"("discovery":"platform","entry":"announce","heartbeat_ms":1200,)"
       << R"("fault_tolerance":{"machines":2,"zones":1,"regions":0},)"
       << R"("bounds":{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":)"
       << m_bounds.m_window_ms << R"(,"ack_ms":5000,"catch_up_s":4,)"
       << R"("drain_ms":)" << m_bounds.m_drain_ms
       << R"(,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":)"
       << m_bounds.m_config_ms
       << R"(,"rollback_slack_ms":250,"max_skew_ms":12000,"recovery_s":12,)"
       << R"("reorder_ms":2000,"max_flow_s":60},"flow_hash":"mod",)"
       << R"("forward_mode":"echo","platform":{"address":")"
       << Text(node.m_store)
       << R"(","forward_mode":"objects","writes_per_s":400,)"
       << R"("reads_per_s":2000,"history_s":20,"value_bytes":1048576,)"
       << R"("min_ttl_ms":1000}})"
       << "\n";
  file.close();
  m_record.Write("platform: starts " + node.m_name + " at " + ip);
  const std::string log = m_folder + "/" + node.m_name + ".log";
  const std::string variable = "COLTSFOOTDALE_CONFIG=" + path;
  const char* environment[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8",
                               variable.c_str(), nullptr};
  const pid_t pid = fork();
  if (pid != 0) {
    node.m_pid = pid;
    return;
  }
  // The balancer ends with this process.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execle(m_program.c_str(), m_program.c_str(), "run", "--metrics-port", "7990",
         nullptr, environment);
  _exit(127);
}

void Fleet::Signal(std::size_t index, int signal) {
  Node& node = *m_nodes[index];
  m_record.Write("platform: sends signal " + std::to_string(signal) + " to " +
                 node.m_name);
  if (node.m_pid > 0)
    kill(node.m_pid, signal);
}

void Fleet::StartRouter(Clock::time_point first) {
  m_router = std::thread([this, first] {
    std::this_thread::sleep_until(first);
    auto next = first;
    while (!m_is_stopped) {
      Poll();
      next += kRouterPeriod;
      std::this_thread::sleep_until(next);
    }
  });
}

void Fleet::Poll() {
  std::vector<std::thread> polls;
  std::vector<char> is_ready(m_nodes.size(), 0);
  for (std::size_t i = 0; i < m_nodes.size(); ++i)
    polls.emplace_back([this, i, &is_ready] {
      is_ready[i] =
          HttpGet(m_nodes[i]->Ready(), "/-/ready", Millis(300)).first == 200;
    });
  for (std::thread& poll : polls)
    poll.join();
  const std::lock_guard lock(m_mutex);
  for (std::size_t i = 0; i < is_ready.size(); ++i) {
    Node& node = *m_nodes[i];
    const bool was_in_rotation = node.m_is_in_rotation;
    node.m_misses = is_ready[i] ? 0 : node.m_misses + 1;
    node.m_is_in_rotation =
        node.m_misses < 2 && (is_ready[i] || was_in_rotation);
    if (node.m_is_in_rotation != was_in_rotation)
      m_record.Write("router: " + node.m_name + " (" + IpText(node.m_ip) +
                     (node.m_is_in_rotation ? ") joins" : ") leaves") +
                     " the rotation");
  }
}

std::optional<Address> Fleet::Route(const std::string& zone,
                                    const Packet& packet) {
  const std::lock_guard lock(m_mutex);
  std::vector<const Node*> all;
  std::vector<const Node*> nodes;
  for (const auto& node : m_nodes) {
    if (node->m_zone != zone || node->m_pid <= 0)
      continue;
    all.push_back(node.get());
    if (node->m_is_in_rotation)
      nodes.push_back(node.get());
  }
  if (nodes.empty())
    return std::nullopt;
  if (nodes.size() * 2 < all.size())
    nodes = all;
  const std::uint64_t hash =
      Hash((std::uint64_t{packet.m_source.m_ip} << 32) ^
           (std::uint64_t{packet.m_source.m_port} << 16) ^
           packet.m_destination.m_port ^
           (std::uint64_t{packet.m_destination.m_ip} << 7));
  return nodes[hash % nodes.size()]->Packets();
}

bool Fleet::AllReady() {
  const std::lock_guard lock(m_mutex);
  return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& node) {
    return node->m_pid <= 0 || node->m_is_in_rotation;
  });
}

std::string Fleet::Status(std::size_t index) {
  return HttpGet({m_nodes[index]->m_ip, 7990}, "/status", Millis(500)).second;
}

std::optional<std::size_t> Fleet::ByIp(std::uint32_t ip) const {
  for (const auto& node : m_nodes)
    if (node->m_ip == ip)
      return node->m_index;
  return std::nullopt;
}

void Fleet::StopAll() {
  m_is_stopped = true;
  if (m_router.joinable())
    m_router.join();
  for (const auto& node : m_nodes) {
    if (node->m_pid <= 0)
      continue;
    kill(node->m_pid, SIGKILL);
    int status = 0;
    waitpid(node->m_pid, &status, 0);
    node->m_pid = -1;
  }
}

Callers::Callers(Record& record,
                 Fleet& fleet,
                 std::string zone,
                 Address address)
    : m_record(record),
      m_fleet(fleet),
      m_zone(std::move(zone)),
      m_address(address),
      m_udp(OpenUdp(address)),
      m_thread([this] { Run(); }) {}

Callers::~Callers() {
  m_is_stopped = true;
  m_thread.join();
  close(m_udp);
}

std::uint16_t Callers::Open(const Plan& plan) {
  const std::lock_guard lock(m_mutex);
  const std::uint16_t port = m_next_port++;
  Flow& flow = m_flows[port];
  flow.m_plan = plan;
  flow.m_port = port;
  flow.m_sequence = static_cast<std::uint32_t>(Hash(port * 7919ULL));
  flow.m_opened_at = Clock::now();
  flow.m_next_at = flow.m_opened_at;
  return port;
}

std::map<std::uint16_t, FlowResult> Callers::Results() {
  const std::lock_guard lock(m_mutex);
  std::map<std::uint16_t, FlowResult> results;
  for (const auto& [port, flow] : m_flows) {
    results[port] = flow.m_result;
    if (flow.m_is_waiting)
      results[port].m_unanswered_request = flow.m_request_id;
  }
  return results;
}

void Callers::Send(Flow& flow,
                   std::uint8_t flags,
                   std::uint32_t sequence,
                   const std::string& data) {
  Packet packet;
  packet.m_source = {m_address.m_ip, flow.m_port};
  packet.m_destination = flow.m_plan.m_target;
  packet.m_echo = flow.m_echo;
  packet.m_flags = flags;
  packet.m_sequence = sequence;
  packet.m_acknowledgement = (flags & Packet::kSyn) != 0
                                 ? static_cast<std::uint32_t>(flow.m_syns)
                                 : flow.m_acknowledgement;
  packet.m_data = data;
  if (const auto node = m_fleet.Route(m_zone, packet))
    SendUdp(m_udp, *node, packet.Encode());
}

void Callers::Run() {
  char buffer[2048];
  while (!m_is_stopped) {
    while (WaitReadable(m_udp, Millis(2))) {
      sockaddr_in name{};
      socklen_t size = sizeof name;
      const ssize_t count = recvfrom(m_udp, buffer, sizeof buffer, 0,
                                     reinterpret_cast<sockaddr*>(&name), &size);
      if (count <= 0)
        break;
      if (const auto packet =
              Packet::Decode(buffer, static_cast<std::size_t>(count))) {
        const std::lock_guard lock(m_mutex);
        Handle(*packet, FromSockaddr(name));
      }
    }
    const std::lock_guard lock(m_mutex);
    for (auto& [port, flow] : m_flows)
      if (!flow.m_is_done)
        Advance(flow, Clock::now());
  }
}

void Callers::Handle(const Packet& packet, Address from) {
  const auto found = m_flows.find(packet.m_destination.m_port);
  if (found == m_flows.end() || found->second.m_is_done)
    return;
  Flow& flow = found->second;
  const std::string name = "caller: port " + std::to_string(flow.m_port);
  if (packet.Has(Packet::kRst)) {
    const auto node = m_fleet.ByIp(from.m_ip);
    const std::uint32_t distance = packet.m_sequence - flow.m_acknowledgement;
    const bool is_taken =
        !flow.m_result.m_is_open || distance <= 76800 || -distance <= 76800;
    m_record.Write(
        name + " gets a reset from " +
        (node ? m_fleet.node(*node).m_name : Text(from)) +
        (flow.m_result.m_is_open ? ", its flow is open" : "") +
        (is_taken ? "" : " (ignored)") +
        (flow.m_is_waiting ? ", waiting for " + flow.m_request_id : ""));
    if (!is_taken)
      return;
    flow.m_is_done = true;
    if (!flow.m_result.m_is_open)
      flow.m_result.m_was_refused = true;
    else if (node && packet.m_sum == 0) {
      flow.m_result.m_reset_by = from.m_ip;
      flow.m_result.m_reset_at = m_record.Now();
    }
    return;
  }
  if (packet.Has(Packet::kSyn)) {
    if (flow.m_result.m_is_open)
      return;
    flow.m_result.m_is_open = true;
    flow.m_echo = packet.m_echo;
    flow.m_sequence += 1;
    flow.m_acknowledgement = packet.m_sequence + 1;
    Send(flow, Packet::kAck, flow.m_sequence, "");
    flow.m_next_at = Clock::now();
    return;
  }
  if (packet.m_data.empty() || packet.m_sequence != flow.m_acknowledgement)
    return;
  flow.m_echo = packet.m_echo;
  flow.m_acknowledgement += static_cast<std::uint32_t>(packet.m_data.size());
  Send(flow, Packet::kAck,
       flow.m_sequence + static_cast<std::uint32_t>(flow.m_request.size()), "");
  if (!flow.m_is_waiting)
    return;
  flow.m_is_waiting = false;
  flow.m_sequence += static_cast<std::uint32_t>(flow.m_request.size());
  flow.m_request.clear();
  ++flow.m_result.m_answers;
  m_record.Write(name + " has its answer to " + flow.m_request_id);
  flow.m_next_at = Clock::now() + flow.m_plan.m_pause;
}

void Callers::Advance(Flow& flow, Clock::time_point now) {
  if (now < flow.m_next_at)
    return;
  const std::string name = "caller: port " + std::to_string(flow.m_port);
  if (!flow.m_result.m_is_open) {
    const auto age = now - flow.m_opened_at;
    if (age >= Millis(1400)) {
      flow.m_is_done = true;
      return;
    }
    Send(flow, Packet::kSyn, flow.m_sequence, "");
    flow.m_next_at = flow.m_opened_at + (flow.m_syns == 0   ? Millis(200)
                                         : flow.m_syns == 1 ? Millis(600)
                                                            : Millis(1400));
    ++flow.m_syns;
    return;
  }
  if (flow.m_is_waiting &&
      now - flow.m_request_at >= flow.m_plan.m_time_limit) {
    m_record.Write(name + " gives up " + flow.m_request_id);
    flow.m_is_done = true;
    return;
  }
  if (!flow.m_is_waiting) {
    if (flow.m_requests_sent == flow.m_plan.m_requests) {
      Send(flow, Packet::kAck | Packet::kFin, flow.m_sequence, "");
      flow.m_is_done = true;
      return;
    }
    ++flow.m_requests_sent;
    flow.m_request_id = "r" + std::to_string(m_next_request++);
    flow.m_request =
        "GET /live HTTP/1.1\r\nHost: a\r\nRequest-Id: " + flow.m_request_id +
        "\r\n\r\n";
    flow.m_is_waiting = true;
    flow.m_request_at = now;
    flow.m_retransmit_after = kFirstRetransmission;
    m_record.Write(name + " sends " + flow.m_request_id);
  } else {
    flow.m_retransmit_after =
        std::min(flow.m_retransmit_after * 2, kLongestRetransmission);
  }
  Send(flow, Packet::kAck, flow.m_sequence, flow.m_request);
  flow.m_next_at = now + flow.m_retransmit_after;
}

std::uint8_t FreeOctet() {
  for (int attempt = 0; attempt < 100; ++attempt) {
    const auto octet =
        static_cast<std::uint8_t>(20 + (getpid() + attempt * 7) % 180);
    const int udp = OpenUdp({Ip(octet, 1, 11), 8172});
    const int tcp = OpenTcpListener({Ip(octet, 250, 1), 8169});
    if (udp >= 0)
      close(udp);
    if (tcp >= 0)
      close(tcp);
    if (udp >= 0 && tcp >= 0)
      return octet;
  }
  return 0;
}

}  // namespace world
