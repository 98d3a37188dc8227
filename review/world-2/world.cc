#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>

namespace world {

namespace {

FILE* g_record = nullptr;
const auto kStart = std::chrono::steady_clock::now();
constexpr Ms kStoreAnswerMs = 4, kHistoryMs = 20000, kHeartbeatMs = 1200,
             kGraceMs = 6000;
constexpr std::size_t kPage = 50;
constexpr std::uint64_t kSumKey = 0x9b1d5f3c77a1e24dULL;

sockaddr_in ToSockaddr(Address address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

[[noreturn]] void CannotRun(const std::string& why) {
  Record("cannot run: %s", why.c_str());
  fprintf(stderr, "cannot run: %s\n", why.c_str());
  exit(2);
}

template <typename Integer>
void Put(Bytes& bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i)
    bytes.push_back(
        static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

template <typename Integer>
Integer Get(const char*& at) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(at[i]))
             << (8 * i);
  at += sizeof(Integer);
  return static_cast<Integer>(value);
}

std::uint32_t SumOf(const Packet& packet) {
  std::uint64_t hash = kSumKey;
  const auto mix = [&hash](std::uint64_t value) {
    hash = (hash ^ value) * 0x100000001b3ULL;
    hash ^= hash >> 29;
  };
  for (std::uint64_t value :
       {std::uint64_t{packet.source.ip}, std::uint64_t{packet.source.port},
        std::uint64_t{packet.destination.ip},
        std::uint64_t{packet.destination.port}, std::uint64_t{packet.flags},
        std::uint64_t{packet.seq}, std::uint64_t{packet.ack},
        std::uint64_t{packet.data.size()}})
    mix(value);
  for (const char byte : packet.data)
    mix(static_cast<unsigned char>(byte));
  return static_cast<std::uint32_t>(hash ^ (hash >> 32)) | 1U;
}

std::string JsonObject(const std::string& name,
                       std::uint64_t revision,
                       const std::string& spec) {
  return "{\"meta\":{\"name\":\"" + name +
         "\",\"revision\":" + std::to_string(revision) +
         ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
         spec + ",\"status\":null}";
}

// `spec` without the number of `seq`.
std::string WithoutSeq(const std::string& spec) {
  const auto at = spec.find("\"seq\":");
  if (at == std::string::npos)
    return spec;
  auto end = at + 6;
  while (end < spec.size() && isdigit(spec[end]))
    ++end;
  return spec.substr(0, at) + spec.substr(end);
}

}  // namespace

std::string IpText(std::uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 255) +
         "." + std::to_string((ip >> 8) & 255) + "." + std::to_string(ip & 255);
}
std::string Text(Address address) {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

Ms Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void OpenRecord(const std::string& path) {
  g_record = fopen(path.c_str(), "w");
  if (g_record == nullptr)
    CannotRun("cannot write " + path);
}

void Record(const char* format, ...) {
  if (g_record == nullptr)
    return;
  const Ms now = Now();
  fprintf(g_record, "%3lld.%03lld ", static_cast<long long>(now / 1000),
          static_cast<long long>(now % 1000));
  va_list arguments;
  va_start(arguments, format);
  vfprintf(g_record, format, arguments);
  va_end(arguments);
  fputc('\n', g_record);
}

Loop::Loop() : m_epoll(epoll_create1(EPOLL_CLOEXEC)) {}
void Loop::Watch(int fd,
                 std::uint32_t events,
                 std::function<void(std::uint32_t)> handler) {
  m_handlers[fd] =
      std::make_shared<std::function<void(std::uint32_t)>>(std::move(handler));
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
}
void Loop::Change(int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}
void Loop::Forget(int fd) {
  m_handlers.erase(fd);
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
}
void Loop::At(Ms time, std::function<void()> handler) {
  m_timers.emplace(time, std::move(handler));
}
void Loop::RunUntil(Ms end) {
  while (Now() < end) {
    while (!m_timers.empty() && m_timers.begin()->first <= Now()) {
      auto handler = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      handler();
    }
    Ms wait = end - Now();
    if (!m_timers.empty())
      wait = std::min(wait, m_timers.begin()->first - Now());
    epoll_event events[64];
    const int count = epoll_wait(m_epoll, events, 64,
                                 static_cast<int>(std::max<Ms>(0, wait)));
    for (int i = 0; i < count; ++i) {
      const auto found = m_handlers.find(events[i].data.fd);
      if (found == m_handlers.end())
        continue;
      const auto handler = found->second;
      (*handler)(events[i].events);
    }
  }
}

int UdpSocket(Address address) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto name = ToSockaddr(address);
  const int size = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int TcpListener(Address address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto name = ToSockaddr(address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

struct HttpServer::Connection {
  int m_fd = -1;
  std::string m_in;
  std::string m_out;
  bool m_is_handled = false;
};

HttpServer::HttpServer(Loop& loop, Address address, Handler handler)
    : m_loop(loop), m_fd(TcpListener(address)), m_handler(std::move(handler)) {
  if (m_fd < 0)
    CannotRun("cannot listen at " + Text(address));
  m_loop.Watch(m_fd, EPOLLIN, [this](std::uint32_t) { Accept(); });
}
HttpServer::~HttpServer() {
  m_loop.Forget(m_fd);
  close(m_fd);
  for (const int fd : *m_open) {
    m_loop.Forget(fd);
    close(fd);
  }
  m_open->clear();
}
void HttpServer::Accept() {
  while (true) {
    const int fd =
        accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    auto connection = std::make_shared<Connection>();
    connection->m_fd = fd;
    m_open->insert(fd);
    auto open = m_open;
    Loop* loop = &m_loop;
    const auto close_it = [open, loop, connection] {
      if (connection->m_fd < 0 || !open->contains(connection->m_fd))
        return;
      open->erase(connection->m_fd);
      loop->Forget(connection->m_fd);
      close(connection->m_fd);
      connection->m_fd = -1;
    };
    const auto flush = [loop, connection, close_it] {
      while (!connection->m_out.empty()) {
        const auto sent = send(connection->m_fd, connection->m_out.data(),
                               connection->m_out.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
          if (sent < 0 && errno == EAGAIN)
            loop->Change(connection->m_fd, EPOLLIN | EPOLLOUT);
          else
            close_it();
          return;
        }
        connection->m_out.erase(0, static_cast<std::size_t>(sent));
      }
      close_it();
    };
    m_loop.Watch(
        fd, EPOLLIN,
        [this, connection, open, close_it, flush](std::uint32_t events) {
          if (!connection->m_out.empty() && (events & EPOLLOUT) != 0)
            return flush();
          char buffer[4096];
          const auto got = recv(connection->m_fd, buffer, sizeof(buffer), 0);
          if (got <= 0) {
            if (got == 0 || errno != EAGAIN)
              close_it();
            return;
          }
          connection->m_in.append(buffer, static_cast<std::size_t>(got));
          if (connection->m_is_handled ||
              connection->m_in.find("\r\n\r\n") == std::string::npos)
            return;
          connection->m_is_handled = true;
          const auto begin = connection->m_in.find(' ') + 1;
          std::string target = connection->m_in.substr(
              begin, connection->m_in.find(' ', begin) - begin);
          HttpRequest request;
          const auto mark = target.find('?');
          request.path = target.substr(0, mark);
          while (mark != std::string::npos && target.size() > mark + 1) {
            std::string part =
                target.substr(mark + 1, target.find('&', mark) - mark - 1);
            target.erase(mark + 1, part.size() + 1);
            const auto equals = part.find('=');
            request.query[part.substr(0, equals)] =
                equals == std::string::npos ? "" : part.substr(equals + 1);
          }
          m_handler(request, [open, connection, close_it, flush](
                                 int status, const std::string& headers,
                                 const std::string& body) {
            if (connection->m_fd < 0 || !open->contains(connection->m_fd))
              return;
            if (status == 0)
              return close_it();
            connection->m_out.append("HTTP/1.1 ")
                .append(std::to_string(status))
                .append(" X\r\nContent-Type: application/json\r\n")
                .append(headers)
                .append("Content-Length: ")
                .append(std::to_string(body.size()))
                .append("\r\nConnection: close\r\n\r\n")
                .append(body);
            flush();
          });
        });
  }
}

Store::Store(Loop& loop, Address address) : m_loop(loop) {
  m_server = std::make_unique<HttpServer>(
      loop, address,
      [this](const HttpRequest& request, const HttpServer::Reply& reply) {
        ++m_calls;
        if (m_fault && m_fault(request, reply))
          return;
        m_loop.After(kStoreAnswerMs,
                     [this, request, reply] { Handle(request, reply); });
      });
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found != objects.end() &&
      WithoutSeq(found->second.spec) == WithoutSeq(spec))
    return;
  objects[name] = {++m_revision, spec};
  AddEvent(kind, "{\"deleted\":false,\"object\":" +
                     JsonObject(name, m_revision, spec) + "}");
}

void Store::Remove(const std::string& kind, const std::string& name) {
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end())
    return;
  const std::string spec = found->second.spec;
  objects.erase(found);
  ++m_revision;
  AddEvent(kind, "{\"deleted\":true,\"object\":" +
                     JsonObject(name, m_revision, spec) + "}");
}

void Store::CutWatches() {
  for (const auto& [number, watch] : m_watches)
    watch.reply(0, "", "");
  m_watches.clear();
}

void Store::AddEvent(const std::string& kind, const std::string& json) {
  m_events.push_back({m_revision, kind, json, Now()});
  while (Now() - m_events.front().at > kHistoryMs) {
    m_first_kept = m_events.front().revision;
    m_events.pop_front();
  }
  for (auto watch = m_watches.begin(); watch != m_watches.end();)
    watch = AnswerWatch(watch->second, false) ? m_watches.erase(watch)
                                              : std::next(watch);
}

bool Store::AnswerWatch(const Watch& watch, bool is_due) {
  if (watch.since < m_first_kept) {
    watch.reply(410, "", "{}");
    return true;
  }
  std::string events;
  for (const Event& event : m_events)
    if (event.kind == watch.kind && event.revision > watch.since)
      events += (events.empty() ? "" : ",") + event.json;
  if (events.empty() && !is_due)
    return false;
  watch.reply(200, "",
              "{\"events\":[" + events +
                  "],\"store_revision\":" + std::to_string(m_revision) + "}");
  return true;
}

void Store::Handle(const HttpRequest& request, const HttpServer::Reply& reply) {
  const std::string prefix = "/-/objects/";
  if (!request.path.starts_with(prefix))
    return reply(404, "", "{}");
  const std::string kind = request.path.substr(prefix.size());
  const auto since = request.query.find("watch");
  if (since == request.query.end())
    return List(request, kind, reply);
  const Watch watch{kind, strtoull(since->second.c_str(), nullptr, 10), reply};
  if (AnswerWatch(watch, false))
    return;
  const std::uint64_t number = m_next_watch++;
  m_watches.emplace(number, watch);
  const auto wait = request.query.find("wait_ms");
  m_loop.After(wait == request.query.end() ? 0 : atoll(wait->second.c_str()),
               [this, number] {
                 const auto found = m_watches.find(number);
                 if (found == m_watches.end())
                   return;
                 AnswerWatch(found->second, true);
                 m_watches.erase(found);
               });
}

void Store::List(const HttpRequest& request,
                 const std::string& kind,
                 const HttpServer::Reply& reply) {
  const auto after = request.query.find("after");
  const auto& objects = m_objects[kind];
  auto object = after == request.query.end()
                    ? objects.begin()
                    : objects.upper_bound(after->second);
  std::string items;
  for (std::size_t count = 0; object != objects.end() && count < kPage;
       ++object, ++count)
    items +=
        (count == 0 ? "" : ",") +
        JsonObject(object->first, object->second.revision, object->second.spec);
  reply(200, "",
        "{\"items\":[" + items +
            "],\"more\":" + (object == objects.end() ? "false" : "true") +
            ",\"store_revision\":" + std::to_string(m_revision) + "}");
}

Bytes Encode(Packet packet) {
  packet.sum = SumOf(packet);
  Bytes bytes;
  world::Put(bytes, packet.source.port);
  world::Put(bytes, packet.source.ip);
  world::Put(bytes, packet.destination.port);
  world::Put(bytes, packet.destination.ip);
  world::Put(bytes, packet.sum);
  world::Put(bytes, packet.echo);
  world::Put(bytes, packet.flags);
  world::Put(bytes, static_cast<std::uint16_t>(packet.data.size()));
  world::Put(bytes, packet.seq);
  world::Put(bytes, packet.ack);
  return bytes + packet.data;
}

std::optional<Packet> Decode(const char* bytes, std::size_t size) {
  if (size < 31)
    return std::nullopt;
  const char* at = bytes;
  Packet packet;
  packet.source.port = Get<std::uint16_t>(at);
  packet.source.ip = Get<std::uint32_t>(at);
  packet.destination.port = Get<std::uint16_t>(at);
  packet.destination.ip = Get<std::uint32_t>(at);
  packet.sum = Get<std::uint32_t>(at);
  packet.echo = Get<std::uint32_t>(at);
  packet.flags = Get<std::uint8_t>(at);
  const auto length = Get<std::uint16_t>(at);
  packet.seq = Get<std::uint32_t>(at);
  packet.ack = Get<std::uint32_t>(at);
  if (size != 31U + length)
    return std::nullopt;
  packet.data.assign(at, length);
  return packet;
}

bool HasValidSum(const Packet& packet) {
  return packet.sum == SumOf(packet);
}

std::string UnreadableBytes(int number) {
  std::string bytes = "{\"number\":" + std::to_string(number) + ",\"tree\":[0";
  for (int level = 0; level < 200; ++level) {
    bytes += ",{\"level\":" + std::to_string(level) + ",\"values\":[0";
    for (int value = 0; value < 240; ++value)
      bytes += "," + std::to_string(100 + value);
    bytes += "],\"below\":[0";
  }
  return bytes;
}

Server::Server(World& world,
               std::string service,
               std::string zone,
               Address address,
               int slots)
    : m_world(world),
      m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_address(address),
      m_slots(slots) {}

void Server::Start(const std::string& id) {
  m_id = id;
  m_state = "ready";
  ++m_lifetime;
  m_seq = 0;
  m_flows.clear();
  m_started_at = Now();
  m_born = 1'700'000'000'000 + m_started_at;
  m_fd = UdpSocket(m_address);
  if (m_fd < 0)
    CannotRun("cannot bind " + Text(m_address));
  m_world.loop.Watch(m_fd, EPOLLIN, [this](std::uint32_t) { OnReadable(); });
  m_health = std::make_unique<HttpServer>(
      m_world.loop, m_address,
      [this](const HttpRequest&, const HttpServer::Reply& reply) {
        const std::string headers = "Instance-Id: " + m_id + "\r\n";
        m_world.loop.After(1, [this, reply, headers] {
          reply(m_state == "ready" ? 200 : 503, headers, "{}");
        });
      });
  Record("server %s (%s) starts at %s, lifetime %llu", m_id.c_str(),
         m_service.c_str(), Text(m_address).c_str(),
         static_cast<unsigned long long>(m_lifetime));
  Beat(m_lifetime);
}

void Server::WriteEntry() {
  ++m_seq;
  m_world.store->Put(
      "servers", m_id,
      "{\"backend\":\"" + m_service + "\",\"address\":\"" + Text(m_address) +
          "\",\"zone\":\"" + m_zone +
          "\",\"version\":\"v1\",\"max_concurrency\":" +
          std::to_string(m_slots) + ",\"state\":\"" + m_state +
          "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(m_seq) +
          ",\"born\":" + std::to_string(m_born) + "}");
}

void Server::Beat(std::uint64_t lifetime) {
  if (!IsUp() || lifetime != m_lifetime)
    return;
  WriteEntry();
  m_world.loop.After(kHeartbeatMs, [this, lifetime] { Beat(lifetime); });
}

void Server::Drain(Ms after, std::function<void()> then) {
  m_state = "draining";
  WriteEntry();
  m_drained_at = Now();
  Record("server %s reports draining", m_id.c_str());
  m_world.loop.After(after, [this, then = std::move(then)] {
    Record("server %s leaves; %zu flows", m_id.c_str(), m_flows.size());
    Stop();
    m_world.store->Remove("servers", m_id);
    then();
  });
}

void Server::Crash() {
  Record("server %s crashes", m_id.c_str());
  Stop();
}

void Server::Stop() {
  m_world.loop.Forget(m_fd);
  close(m_fd);
  m_fd = -1;
  m_health.reset();
  m_flows.clear();
  ++m_lifetime;
}

bool Server::HasOpen(const FlowKey& key) const {
  const auto found = m_flows.find(key);
  return IsUp() && found != m_flows.end() && found->second.is_open &&
         !found->second.has_fin;
}

void Server::OnReadable() {
  char buffer[2048];
  while (m_fd >= 0) {
    const auto got = recv(m_fd, buffer, sizeof(buffer), 0);
    if (got <= 0)
      return;
    if (got < 8)
      continue;
    std::uint64_t identity = 0, own = 0;
    for (int i = 0; i < 8; ++i)
      identity = (identity << 8) | static_cast<unsigned char>(buffer[i]);
    for (const char c : m_id)
      if (isxdigit(c))
        own = own * 16 + static_cast<std::uint64_t>(
                             isdigit(c) ? c - '0' : tolower(c) - 'a' + 10);
    if (identity != 0 && identity != own)
      continue;
    const auto packet = Decode(buffer + 8, static_cast<std::size_t>(got) - 8);
    if (!packet || !HasValidSum(*packet)) {
      m_world.Broken(
          "UNASKED: server %s got a packet that its sender did not write so",
          m_id.c_str());
      continue;
    }
    Handle(*packet);
  }
}

void Server::Handle(const Packet& packet) {
  const FlowKey key{packet.source, packet.destination};
  if ((packet.flags & kSyn) != 0) {
    const auto [entry, is_new] = m_flows.try_emplace(key);
    Flow& flow = entry->second;
    if (is_new || !flow.is_open) {
      if (is_new)
        flow.next_seq = static_cast<std::uint32_t>(m_world.random());
      flow.expected = packet.seq + 1;
      flow.echo = packet.echo;
      Send(key, flow, kSyn | kAck, "");
    }
    return;
  }
  const auto found = m_flows.find(key);
  if (found == m_flows.end())
    return SendReset(packet);
  Flow& flow = found->second;
  if (!flow.is_open) {
    if (packet.ack != flow.next_seq + 1)
      return SendReset(packet);
    flow.is_open = true;
    ++flow.next_seq;
    if (m_world.on_flow_opened)
      m_world.on_flow_opened(key, *this);
  }
  flow.echo = packet.echo;
  if ((packet.flags & kRst) != 0) {
    m_flows.erase(found);
    return;
  }
  if (!flow.unacked.empty() &&
      static_cast<std::int32_t>(
          packet.ack - (flow.unacked_seq +
                        static_cast<std::uint32_t>(flow.unacked.size()))) >= 0)
    flow.unacked.clear();
  if (!packet.data.empty()) {
    if (packet.seq == flow.expected) {
      flow.expected += static_cast<std::uint32_t>(packet.data.size());
      const auto at = packet.data.find("Request-Id: ") + 12;
      const std::string id =
          packet.data.substr(at, packet.data.find('\r', at) - at);
      if (++m_world.runs_of[id] > 1)
        Record("request %s runs again at %s", id.c_str(), m_id.c_str());
      ++m_world.ran;
      Record("r %s %s", id.c_str(), m_id.c_str());
      const std::uint64_t lifetime = m_lifetime;
      m_world.loop.After(m_work_ms, [this, key, id, lifetime] {
        if (lifetime == m_lifetime)
          Respond(key, id);
      });
    }
    Send(key, flow, kAck, "");
  }
  if ((packet.flags & kFin) != 0) {
    flow.expected =
        packet.seq + static_cast<std::uint32_t>(packet.data.size()) + 1;
    Send(key, flow, flow.has_fin ? kAck : kFin | kAck, "");
    flow.has_fin = true;
    m_flows.erase(found);
  }
}

void Server::Respond(const FlowKey& key, const std::string& id) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end())
    return;
  Flow& flow = found->second;
  flow.unacked = "HTTP/1.1 200 OK\r\nServer-Seal: " + m_id +
                 "\r\nX-For: " + id + "\r\nContent-Length: 0\r\n\r\n";
  flow.unacked_seq = flow.next_seq;
  const bool closes = m_state == "draining";
  Send(key, flow, kAck, flow.unacked);
  flow.next_seq += static_cast<std::uint32_t>(flow.unacked.size());
  if (closes) {
    Send(key, flow, kFin | kAck, "");
    flow.has_fin = true;
  }
  Retransmit(key, m_lifetime, flow.unacked_seq, 200);
}

void Server::Retransmit(const FlowKey& key,
                        std::uint64_t lifetime,
                        std::uint32_t seq,
                        Ms wait) {
  m_world.loop.After(wait, [this, key, lifetime, seq, wait] {
    const auto found = m_flows.find(key);
    if (lifetime != m_lifetime || found == m_flows.end() ||
        found->second.unacked.empty() || found->second.unacked_seq != seq ||
        ++found->second.retransmissions > 8)
      return;
    Flow& flow = found->second;
    const auto next = flow.next_seq;
    flow.next_seq = seq;
    Send(key, flow, kAck, flow.unacked);
    flow.next_seq = next;
    Retransmit(key, lifetime, seq, std::min<Ms>(1600, 2 * wait));
  });
}

void Server::Send(const FlowKey& key,
                  Flow& flow,
                  std::uint8_t flags,
                  const Bytes& data) {
  const Bytes bytes = Encode({key.route, key.caller, 0, flow.echo, flags,
                              flow.next_seq, flow.expected, data});
  const auto to = ToSockaddr({key.caller.ip, kPacketPort});
  sendto(m_fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void Server::SendReset(const Packet& packet) {
  ++m_resets_sent;
  const Bytes bytes = Encode({packet.destination, packet.source, 0, packet.echo,
                              kRst, packet.ack, 0, ""});
  const auto to = ToSockaddr({packet.source.ip, kPacketPort});
  sendto(m_fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

Balancer::Balancer(World& world,
                   std::string name,
                   std::string zone,
                   std::uint32_t ip)
    : m_world(world),
      m_name(std::move(name)),
      m_zone(std::move(zone)),
      m_ip(ip) {}

void Balancer::Start() {
  const std::string path = m_world.settings.folder + "/" + m_name + ".json";
  std::ofstream(path) << m_world.SettingsText(*this);
  const std::string log = m_world.settings.folder + "/" + m_name + "-" +
                          std::to_string(++m_starts) + ".log";
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(2);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(out, 1);
    dup2(out, 2);
    setenv("COLTSFOOTDALE_CONFIG", path.c_str(), 1);
    execl(m_world.settings.binary.c_str(), m_world.settings.binary.c_str(),
          "run", "--metrics-port", "7990", static_cast<char*>(nullptr));
    _exit(2);
  }
  m_is_end_expected = false;
  Record("balancer %s starts, process %d", m_name.c_str(), m_pid);
}

void Balancer::Signal(int signal) {
  if (m_pid > 0)
    kill(m_pid, signal);
}

void Balancer::Roll(Ms pause) {
  Record("balancer %s gets SIGTERM", m_name.c_str());
  m_is_end_expected = true;
  m_restart_pause = pause;
  m_kill_at = Now() + kGraceMs;
  Signal(SIGTERM);
}

std::string Balancer::Status() const {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const auto to = ToSockaddr({m_ip, 7990});
  std::string answer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    const std::string text =
        "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    char buffer[4096];
    for (auto got = recv(fd, buffer, sizeof(buffer), 0); got > 0;
         got = recv(fd, buffer, sizeof(buffer), 0))
      answer.append(buffer, static_cast<std::size_t>(got));
  }
  close(fd);
  return answer;
}

void Balancer::Lose() {
  Record("machine of balancer %s is lost for good", m_name.c_str());
  m_is_lost = true;
  m_is_end_expected = true;
  m_kill_at = Now() + kGraceMs;
  Signal(SIGKILL);
}

void Balancer::Kill() {
  Record("balancer %s gets SIGKILL", m_name.c_str());
  m_is_end_expected = true;
  m_kill_at = Now() + kGraceMs;
  Signal(SIGKILL);
}

void Balancer::Reap() {
  if (m_pid <= 0)
    return;
  if (m_is_end_expected && Now() >= m_kill_at)
    Signal(SIGKILL);
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid)
    return;
  m_pid = -1;
  Record("balancer %s ended, status %d", m_name.c_str(), status);
  if (!m_is_end_expected) {
    ++m_world.unexpected_ends;
    Record("balancer %s ended by itself", m_name.c_str());
  }
  if (!m_is_lost)
    m_world.loop.After(m_restart_pause, [this] { Start(); });
}

// The platform's check of readiness: twice a second; out after two misses.
void Balancer::Poll() {
  if (m_poll_fd >= 0) {
    m_world.loop.Forget(m_poll_fd);
    close(m_poll_fd);
  }
  m_poll_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto to = ToSockaddr({m_ip, kReadyPort});
  static_cast<void>(
      connect(m_poll_fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
  auto answer = std::make_shared<std::string>();
  auto is_sent = std::make_shared<bool>(false);
  const auto finish = [this](bool is_ready) {
    m_world.loop.Forget(m_poll_fd);
    close(m_poll_fd);
    m_poll_fd = -1;
    const bool was = m_is_in_rotation;
    m_misses = is_ready ? 0 : m_misses + 1;
    m_is_in_rotation = is_ready || (was && m_misses < 2);
    if (was != m_is_in_rotation)
      Record("balancer %s is %s the rotation", m_name.c_str(),
             m_is_in_rotation ? "in" : "out of");
  };
  const std::uint64_t number = ++m_poll_number;
  m_world.loop.After(450, [this, finish, number] {
    if (m_poll_fd >= 0 && number == m_poll_number)
      finish(false);
  });
  m_world.loop.Watch(
      m_poll_fd, EPOLLIN | EPOLLOUT,
      [this, answer, is_sent, finish](std::uint32_t events) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 && !*is_sent)
          return finish(false);
        if (!*is_sent) {
          const std::string text =
              "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
          send(m_poll_fd, text.data(), text.size(), MSG_NOSIGNAL);
          *is_sent = true;
          m_world.loop.Change(m_poll_fd, EPOLLIN);
          return;
        }
        char buffer[1024];
        const auto got = recv(m_poll_fd, buffer, sizeof(buffer), 0);
        if (got < 0 && errno == EAGAIN)
          return;
        if (got > 0)
          answer->append(buffer, static_cast<std::size_t>(got));
        if (got <= 0 || answer->size() >= 12)
          finish(answer->starts_with("HTTP/1.1 200"));
      });
}

CallerFlow::CallerFlow(World& world, Address self, const Plan& plan)
    : m_world(world), m_key{self, plan.route}, m_plan(plan) {
  m_seq = static_cast<std::uint32_t>(world.random());
  m_left = plan.requests;
  m_attempt = world.attempts.size();
  world.attempts.push_back({Now(), false});
  SendSyn(0);
  for (const std::uint32_t copy : {1U, 2U})
    world.loop.After(copy == 1 ? 200 : 600, [this, &world, key = m_key, copy] {
      const auto found = world.m_flows.find(key);
      if (found != world.m_flows.end() && found->second.get() == this &&
          !m_is_established && !m_is_ended)
        SendSyn(copy);
    });
  world.loop.After(1400, [this, &world, key = m_key] {
    const auto found = world.m_flows.find(key);
    if (found != world.m_flows.end() && found->second.get() == this &&
        !m_is_established && !m_is_ended)
      End("no SYN+ACK");
  });
}

void CallerFlow::SendPacket(std::uint8_t flags,
                            const Bytes& data,
                            std::uint32_t seq) {
  const Bytes bytes =
      Encode({m_key.caller, m_key.route, 0, m_echo, flags, seq, m_ack, data});
  int fd = -1;
  for (const auto& host : m_world.m_hosts)
    if (host.ip == m_key.caller.ip)
      fd = host.fd;
  m_world.SendToBalancer(m_plan.zone, m_key, bytes, fd);
}

void CallerFlow::SendSyn(std::uint32_t copy) {
  m_ack = copy;
  m_echo = 0;
  SendPacket(kSyn, "", m_seq);
}

void CallerFlow::Handle(const Packet& packet) {
  if (m_is_ended)
    return;
  if (packet.flags == kRst) {
    const bool is_system = packet.sum == 0;
    if (!is_system && !HasValidSum(packet)) {
      m_world.Broken("MIXED: %s got a packet that its sender did not write so",
                     Text(m_key.caller).c_str());
      return;
    }
    if (!m_is_established) {
      ++m_world.refused;
      return End(is_system ? "reset by the system while opening"
                           : "reset by a server while opening");
    }
    const auto distance = static_cast<std::int32_t>(packet.seq - m_ack);
    if (is_system && (distance > 76800 || distance < -76800))
      return;
    if (is_system)
      m_world.OnSystemReset(*this, packet, true);
    return End(is_system ? "reset by the system" : "reset by a server");
  }
  if (!HasValidSum(packet)) {
    m_world.Broken("MIXED: %s got a packet that its sender did not write so",
                   Text(m_key.caller).c_str());
    return;
  }
  if ((packet.flags & kSyn) != 0) {
    if (m_is_established || packet.ack != m_seq + 1)
      return;
    m_is_established = true;
    m_opened_at = Now();
    ++m_world.opened;
    ++m_seq;
    m_next = m_seq;
    m_ack = packet.seq + 1;
    m_echo = packet.echo;
    return SendRequest();
  }
  if (!m_is_established)
    return;
  if (!m_outstanding.empty() &&
      static_cast<std::int32_t>(
          packet.ack - (m_outstanding_seq +
                        static_cast<std::uint32_t>(m_outstanding.size()))) >= 0)
    m_outstanding.clear();
  m_echo = packet.echo;
  bool is_new = false;
  if (!packet.data.empty()) {
    if (packet.seq == m_ack) {
      m_ack += static_cast<std::uint32_t>(packet.data.size());
      m_received += packet.data;
      is_new = true;
    }
    SendPacket(kAck, "", m_next);
  }
  if (is_new && m_received.find("\r\n\r\n") != std::string::npos) {
    if (m_received.find("X-For: " + m_request.id + "\r\n") == std::string::npos)
      m_world.Broken("MIXED: request %s got another answer",
                     m_request.id.c_str());
    m_received.clear();
    ++m_world.answered;
    Record("a %s", m_request.id.c_str());
    m_world.attempts[m_attempt].is_served = true;
    m_request.id.clear();
    if (--m_left <= 0) {
      SendPacket(kFin | kAck, "", m_next);
      return End("done");
    }
    m_world.loop.After(m_plan.think_ms, [this, &world = m_world, key = m_key] {
      const auto found = world.m_flows.find(key);
      if (found != world.m_flows.end() && found->second.get() == this &&
          !m_is_ended)
        SendRequest();
    });
  }
  if ((packet.flags & kFin) != 0) {
    ++m_ack;
    SendPacket(kFin | kAck, "", m_next);
    return End("closed by the server");
  }
}

void CallerFlow::SendRequest() {
  if (m_sent++ > 0) {
    m_attempt = m_world.attempts.size();
    m_world.attempts.push_back({Now(), false});
  }
  m_request = {"r" + std::to_string(m_world.random() % 1000000000000ULL),
               Now()};
  m_outstanding =
      "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: " + m_request.id + "\r\n\r\n";
  m_outstanding_seq = m_next;
  m_next += static_cast<std::uint32_t>(m_outstanding.size());
  SendPacket(kAck, m_outstanding, m_outstanding_seq);
  Record("s %s %s to %s", m_request.id.c_str(), Text(m_key.caller).c_str(),
         Text(m_key.route).c_str());
  Retransmit(m_outstanding_seq, 200);
  m_world.loop.After(m_plan.limit_ms, [this, &world = m_world, key = m_key,
                                       id = m_request.id] {
    const auto found = world.m_flows.find(key);
    if (found != world.m_flows.end() && found->second.get() == this &&
        !m_is_ended && m_request.id == id) {
      ++world.failed;
      SendPacket(kFin | kAck, "", m_next);
      End("time limit");
    }
  });
}

void CallerFlow::Retransmit(std::uint32_t seq, Ms wait) {
  m_world.loop.After(wait, [this, &world = m_world, key = m_key, seq, wait] {
    const auto found = world.m_flows.find(key);
    if (found == world.m_flows.end() || found->second.get() != this ||
        m_is_ended || m_outstanding.empty() || m_outstanding_seq != seq)
      return;
    SendPacket(kAck, m_outstanding, seq);
    Retransmit(seq, std::min<Ms>(1600, 2 * wait));
  });
}

void CallerFlow::End(const char* how) {
  m_is_ended = true;
  if (strcmp(how, "done") != 0 && strcmp(how, "closed by the server") != 0)
    Record("flow %s to %s: %s", Text(m_key.caller).c_str(),
           Text(m_key.route).c_str(), how);
}

World::World(Settings given)
    : settings(std::move(given)), random(std::random_device()()) {
  signal(SIGPIPE, SIG_IGN);
  for (std::uint32_t number = 0; number < 120 && base_ip == 0; ++number) {
    const std::uint32_t second =
        100 + (static_cast<std::uint32_t>(getpid()) + number) % 120;
    const std::uint32_t base = (127U << 24) | (second << 16);
    const int fd = TcpListener({base | (200 << 8) | 7, kStorePort});
    if (fd < 0)
      continue;
    close(fd);
    base_ip = base;
  }
  if (base_ip == 0)
    CannotRun("no free loopback network");
  store = std::make_unique<Store>(
      loop, Address{base_ip | (200 << 8) | 7, kStorePort});
  for (std::uint32_t i = 1; i <= 4; ++i) {
    const std::uint32_t ip = base_ip | (64 << 8) | i;
    const int fd = UdpSocket({ip, kPacketPort});
    if (fd < 0)
      CannotRun("cannot bind a caller");
    m_hosts.push_back({ip, fd});
  }
  for (auto& host : m_hosts)
    loop.Watch(host.fd, EPOLLIN,
               [this, &host](std::uint32_t) { OnCallerReadable(host); });
}

World::~World() {
  Stop();
}

void World::Stop() {
  if (g_record != nullptr)
    fflush(g_record);
  for (const auto& balancer : balancers) {
    if (balancer->pid() <= 0)
      continue;
    kill(balancer->pid(), SIGCONT);
    kill(balancer->pid(), SIGKILL);
    waitpid(balancer->pid(), nullptr, 0);
    balancer->m_pid = -1;
  }
}

std::string World::NewId() {
  char text[32];
  snprintf(text, sizeof(text), "i-%010llx",
           static_cast<unsigned long long>(random() & 0xffffffffffULL));
  return text;
}

Balancer& World::AddBalancer(const std::string& zone) {
  const auto number = static_cast<std::uint32_t>(balancers.size());
  const auto zone_number = static_cast<std::uint32_t>(
      std::distance(zones.begin(), zones.find(zone)));
  balancers.push_back(std::make_unique<Balancer>(
      *this, "front-" + zone + "-" + std::to_string(number), zone,
      base_ip | ((zone_number + 1) << 8) | (10 + number)));
  return *balancers.back();
}

Server& World::AddServer(const std::string& service,
                         const std::string& zone,
                         int slots) {
  const auto number = static_cast<std::uint32_t>(m_next_server++);
  const auto zone_number = static_cast<std::uint32_t>(
      std::distance(zones.begin(), zones.find(zone)));
  servers.push_back(std::make_unique<Server>(
      *this, service, zone,
      Address{base_ip | ((128 + zone_number) << 8) | (9 + number), kServerPort},
      slots));
  return *servers.back();
}

Address World::AddRoute(const std::string& service, const std::string& type) {
  const Address route{
      base_ip | (250 << 8) | static_cast<std::uint32_t>(m_next_route++), 8443};
  m_routes[route] = {service, type};
  return route;
}
void World::DropRoute(Address route) {
  m_routes.erase(route);
  WriteManifest();
}
void World::PutRoute(Address route,
                     const std::string& service,
                     const std::string& type) {
  m_routes[route] = {service, type};
  WriteManifest();
}

void World::WriteManifest() {
  m_version += 1 + random() % 4;
  std::string routes, services;
  std::set<std::string> names;
  for (const auto& [address, route] : m_routes) {
    routes += (routes.empty() ? "" : ",") + std::string("{\"name\":\"r-") +
              std::to_string(address.ip & 255) + "\",\"host\":\"" +
              IpText(address.ip) + "\",\"prefix\":\"/" +
              std::to_string(address.port) + "/\",\"route_type\":\"" +
              route.type +
              "\",\"timeout_ms\":1500,\"target_latency_ms\":250,\"priority\":2,"
              "\"backend\":\"" +
              route.service + "\",\"attempts\":2}";
  }
  for (const auto& server : servers)
    names.insert(server->m_service);
  for (const std::string& name : names)
    services +=
        (services.empty() ? "" : ",") + std::string("{\"name\":\"") + name +
        "\",\"health_path\":\"/"
        "health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}";
  Record("manifest version %llu, %zu routes",
         static_cast<unsigned long long>(m_version), m_routes.size());
  store->Put("config", "main",
             "{\"version\":" + std::to_string(m_version) + ",\"routes\":[" +
                 routes + "],\"services\":[" + services +
                 "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
                 "262144,\"header_timeout_ms\":3000,"
                 "\"idle_timeout_ms\":15000}}");
}

std::string World::SettingsText(const Balancer& balancer) const {
  const std::string ip = IpText(balancer.ip());
  std::string zone_list, seeds;
  std::set<std::string> seeded;
  for (const auto& [zone, region] : zones)
    zone_list.append(zone_list.empty() ? "\"" : ",\"")
        .append(zone)
        .append("\":\"")
        .append(region)
        .append("\"");
  for (const auto& other : balancers)
    if (seeded.size() < 3 && seeded.insert(other->zone()).second)
      seeds += (seeds.empty() ? "" : ",") + std::string("\"") +
               IpText(other->ip()) + ":8166\"";
  return "{\"node_name\":\"" + balancer.name() +
         "\",\"role\":\"edge\",\"machine_class\":\"front\",\"serves\":["
         "\"front\",\"control\"],\"ip\":\"" +
         ip + "\",\"zone\":\"" + balancer.zone() +
         "\",\"region\":\"sverige-mitt\",\"zones\":{" + zone_list +
         "},\"listen\":{\"datagram_addr\":\"" + ip +
         ":8172\",\"ready_addr\":\"" + ip + ":8167\",\"control\":\"" + ip +
         ":8166\"},\"internal_ports\":[7720,7735],\"seeds\":[" + seeds +
         "],\"bootstrap\":" + (Now() < 3000 ? "true" : "false") +
         ",\"counts_for_tolerance\":false,\"limits\":{\"cpu_share\":0.055,"
         "\"cores\":1,\"memory_mb\":260,"
         "\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":"
         "null,\"discovery\":\"platform\","
         "\"entry\":\"announce\",\"heartbeat_ms\":1200,\"invariants\":["
         "\"base\",\"drain\",\"config\",\"cost\","
         "\"recover\",\"flows\",\"platform\"],\"fault_tolerance\":{"
         "\"machines\":2,\"zones\":1,\"regions\":0},"
         "\"bounds\":{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"stable_window_ms\":"
         "4000,\"ack_ms\":5000,\"catch_up_s\":4,"
         "\"drain_ms\":3000,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_"
         "ms\":3000,\"rollback_slack_ms\":250,"
         "\"max_skew_ms\":12000,\"recovery_s\":12,\"reorder_ms\":2000,\"max_"
         "flow_s\":60},\"flow_hash\":\"mod\","
         "\"forward_mode\":\"echo\",\"platform\":{\"address\":\"" +
         Text({base_ip | (200 << 8) | 7, kStorePort}) +
         "\",\"forward_mode\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":"
         "2000,\"history_s\":20,"
         "\"value_bytes\":1048576,\"min_ttl_ms\":1000}}\n";
}

void World::StartBalancers() {
  for (const auto& balancer : balancers)
    balancer->Start();
  auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, poll] {
    for (const auto& balancer : balancers)
      balancer->Poll();
    loop.After(500, *poll);
  };
  (*poll)();
  auto reap = std::make_shared<std::function<void()>>();
  *reap = [this, reap] {
    for (const auto& balancer : balancers)
      balancer->Reap();
    loop.After(20, *reap);
  };
  (*reap)();
}

bool World::AreAllInRotation() const {
  return std::ranges::all_of(
      balancers, [](const auto& balancer) { return balancer->IsInRotation(); });
}

Balancer* World::Route(const std::string& zone, const FlowKey& key) {
  std::vector<Balancer*> all, in;
  for (const auto& balancer : balancers)
    if (balancer->zone() == zone) {
      all.push_back(balancer.get());
      if (balancer->IsInRotation())
        in.push_back(balancer.get());
    }
  if (in.empty())
    for (const auto& balancer : balancers)
      if (balancer->IsInRotation())
        in.push_back(balancer.get());
  const auto& used = 2 * in.size() < all.size() ? all : in;
  if (used.empty())
    return nullptr;
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (std::uint64_t value :
       {std::uint64_t{key.caller.ip}, std::uint64_t{key.caller.port},
        std::uint64_t{key.route.ip}, std::uint64_t{key.route.port}}) {
    hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL;
    hash ^= hash >> 31;
  }
  return used[hash % used.size()];
}

void World::SendToBalancer(const std::string& zone,
                           const FlowKey& key,
                           const Bytes& packet,
                           int fd) {
  Balancer* balancer = Route(zone, key);
  if (balancer == nullptr)
    return;
  last_balancer[key] = {balancer->name(), Now()};
  openings.try_emplace(key, Opening{Now(), balancer->name()});
  const auto to = ToSockaddr({balancer->ip(), kPacketPort});
  sendto(fd, packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void World::OnCallerReadable(CallerHost& host) {
  char buffer[2048];
  while (true) {
    const auto got = recv(host.fd, buffer, sizeof(buffer), 0);
    if (got <= 0)
      return;
    const auto packet = Decode(buffer, static_cast<std::size_t>(got));
    if (!packet)
      continue;
    const auto found = m_flows.find({packet->destination, packet->source});
    if (found != m_flows.end())
      found->second->Handle(*packet);
  }
}

void World::KeepFlows(int count, const CallerFlow::Plan& plan, Ms until) {
  auto tick = std::make_shared<std::function<void()>>();
  auto own = std::make_shared<std::set<FlowKey>>();
  *tick = [this, tick, own, count, plan, until] {
    for (auto key = own->begin(); key != own->end();) {
      const auto found = m_flows.find(*key);
      if (found != m_flows.end() && !found->second->IsEnded()) {
        ++key;
        continue;
      }
      if (found != m_flows.end())
        m_flows.erase(found);
      last_balancer.erase(*key);
      openings.erase(*key);
      key = own->erase(key);
    }
    if (Now() >= until)
      return;
    // Flows are opened evenly, not all in one moment.
    for (int i = 0;
         i < std::max(1, count / 20) && static_cast<int>(own->size()) < count;
         ++i) {
      m_next_port = static_cast<std::uint16_t>(
          m_next_port >= 60000 ? 20000 : m_next_port + 1);
      const Address self{m_hosts[m_next_port % m_hosts.size()].ip, m_next_port};
      const FlowKey key{self, plan.route};
      auto this_plan = plan;
      this_plan.requests = std::max(
          1, static_cast<int>(
                 static_cast<std::uint64_t>(plan.requests) / 2 +
                 random() % static_cast<std::uint64_t>(plan.requests + 1)));
      m_flows.erase(key);
      openings.erase(key);
      m_flows.emplace(key,
                      std::make_unique<CallerFlow>(*this, self, this_plan));
      own->insert(key);
    }
    loop.After(10, *tick);
  };
  (*tick)();
}

std::pair<int, int> World::ServedBetween(Ms from, Ms until) const {
  std::pair<int, int> counts{0, 0};
  for (const Attempt& attempt : attempts)
    if (attempt.sent_at >= from && attempt.sent_at < until) {
      counts.first += attempt.is_served ? 1 : 0;
      ++counts.second;
    }
  return counts;
}

Server* World::OwnerOf(const FlowKey& key) {
  for (const auto& server : servers)
    if (server->HasOpen(key))
      return server.get();
  return nullptr;
}

void World::OnSystemReset(const CallerFlow& flow, const Packet& packet, bool) {
  Server* owner = OwnerOf(flow.key());
  const auto& last = last_balancer[flow.key()];
  Record(
      "flow %s to %s, open since %lld ms, got a reset of the system (last "
      "packet %lld ms ago to %s); its server %s",
      Text(flow.key().caller).c_str(), Text(flow.key().route).c_str(),
      static_cast<long long>(Now() - flow.m_opened_at),
      static_cast<long long>(Now() - last.second), last.first.c_str(),
      owner == nullptr ? "no longer has it"
                       : (owner->id() + " has it open, and has run for " +
                          std::to_string(Now() - owner->StartedAt()) + " ms")
                             .c_str());
  if (on_reset_of_open_flow)
    on_reset_of_open_flow(flow, packet, owner);
}

void World::Broken(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  ++broken;
  Record("BROKEN %s", text);
}

}  // namespace world
