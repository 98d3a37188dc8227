#include "store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "sockets.h"

namespace review {

namespace {

// `history_s` of the settings.
constexpr std::int64_t kHistoryMs = 20'000;
constexpr std::int64_t kMaximumWaitMs = 30'000;
// A list has "about 500 or 1 MB at most".
constexpr std::size_t kMaximumItems = 500;
constexpr std::size_t kMaximumPageBytes = 1'000'000;
constexpr std::int64_t kPollPeriodMs = 5;
constexpr std::string_view kObjectsPath = "/-/objects/";

std::string ToJson(const std::string& name,
                   std::uint64_t revision,
                   const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + spec +
         R"(,"status":null})";
}

// The value of a parameter of a query, or an empty text.
std::string Parameter(const std::string& target, const std::string& name) {
  for (const char separator : {'?', '&'}) {
    const std::size_t start = target.find(separator + name + "=");
    if (start == std::string::npos)
      continue;
    const std::size_t value = start + name.size() + 2;
    return target.substr(value, target.find('&', value) - value);
  }
  return {};
}

}  // namespace

Store::Store(Loop& loop, const Network& network, std::uint32_t machines)
    : m_loop(loop) {
  for (std::uint32_t machine = 0; machine < machines; ++machine) {
    const int listener = ListenOn(network.StoreFor(machine));
    m_listeners.push_back(listener);
    loop.Add(listener,
             [this, listener, machine] { Accept(listener, machine); });
  }
  loop.Every(kPollPeriodMs, [this] { AnswerWatches(); });
}

Store::~Store() {
  for (const int listener : m_listeners)
    close(listener);
  for (const auto& [descriptor, connection] : m_connections)
    close(descriptor);
}

std::set<std::uint32_t> Store::WatchingMachines() const {
  std::set<std::uint32_t> machines;
  for (const auto& [descriptor, connection] : m_connections) {
    if (connection.m_watch)
      machines.insert(connection.m_machine);
  }
  return machines;
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  Object& object = m_objects[kind][name];
  if (object.m_spec == spec)
    return;
  object = {++m_revision, spec};
  AddEvent(kind, ToJson(name, m_revision, spec), false);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end())
    return;
  const std::string object = ToJson(name, ++m_revision, found->second.m_spec);
  objects.erase(found);
  AddEvent(kind, object, true);
}

void Store::SetCut(std::uint32_t machine, bool is_cut) {
  if (is_cut)
    m_cut.insert(machine);
  else
    m_cut.erase(machine);
  for (auto& [descriptor, connection] : m_connections) {
    if (connection.m_machine != machine)
      continue;
    connection.m_socket->m_reads = !is_cut;
    connection.m_socket->m_writes = !is_cut && !connection.m_out.empty();
  }
}

void Store::Accept(int listener, std::uint32_t machine) {
  const int descriptor = AcceptConnection(listener);
  if (descriptor < 0)
    return;
  Connection& connection = m_connections[descriptor];
  connection = {};
  connection.m_machine = machine;
  connection.m_socket =
      &m_loop.Add(descriptor, [this, descriptor] { Read(descriptor); });
  connection.m_socket->m_on_writable = [this, descriptor] {
    Flush(descriptor);
  };
  connection.m_socket->m_reads = !m_cut.contains(machine);
}

void Store::Read(int descriptor) {
  char buffer[4096];
  const auto bytes = read(descriptor, buffer, sizeof buffer);
  if (bytes <= 0) {
    if (bytes == 0 || errno != EAGAIN)
      Close(descriptor);
    return;
  }
  Connection& connection = m_connections[descriptor];
  connection.m_in.append(buffer, static_cast<std::size_t>(bytes));
  const std::size_t end = connection.m_in.find("\r\n\r\n");
  if (end == std::string::npos)
    return;
  const std::size_t start = connection.m_in.find(' ') + 1;
  const std::string target =
      connection.m_in.substr(start, connection.m_in.find(' ', start) - start);
  connection.m_in.erase(0, end + 4);
  Handle(connection, target);
}

void Store::Flush(int descriptor) {
  Connection& connection = m_connections[descriptor];
  const auto bytes = send(descriptor, connection.m_out.data(),
                          connection.m_out.size(), MSG_NOSIGNAL);
  if (bytes < 0 && errno != EAGAIN) {
    Close(descriptor);
    return;
  }
  if (bytes > 0)
    connection.m_out.erase(0, static_cast<std::size_t>(bytes));
  connection.m_socket->m_writes = !connection.m_out.empty();
}

void Store::Close(int descriptor) {
  m_loop.Remove(descriptor);
  m_connections.erase(descriptor);
  close(descriptor);
}

void Store::Handle(Connection& connection, const std::string& target) {
  if (!target.starts_with(kObjectsPath)) {
    Respond(connection, 404, "{}");
    return;
  }
  const std::string kind = target.substr(
      kObjectsPath.size(), target.find('?') - kObjectsPath.size());
  const std::string since = Parameter(target, "watch");
  if (since.empty()) {
    Respond(connection, 200, List(kind, Parameter(target, "after")));
    return;
  }
  const std::int64_t wait = std::atoll(Parameter(target, "wait_ms").c_str());
  connection.m_watch = Watch{kind, std::strtoull(since.c_str(), nullptr, 10),
                             Loop::Now() + std::min(wait, kMaximumWaitMs)};
  AnswerWatches();
}

std::string Store::List(const std::string& kind,
                        const std::string& after) const {
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  const auto objects = m_objects.find(kind);
  if (objects != m_objects.end()) {
    for (auto entry = objects->second.upper_bound(after);
         entry != objects->second.end(); ++entry, ++count) {
      const std::string json =
          ToJson(entry->first, entry->second.m_revision, entry->second.m_spec);
      has_more = count > 0 && (count == kMaximumItems ||
                               items.size() + json.size() > kMaximumPageBytes);
      if (has_more)
        break;
      items += (count == 0 ? "" : ",") + json;
    }
  }
  return R"({"items":[)" + items + R"(],"more":)" +
         (has_more ? "true" : "false") + R"(,"store_revision":)" +
         std::to_string(m_revision) + "}";
}

void Store::Respond(Connection& connection,
                    int status,
                    const std::string& body) {
  connection.m_watch.reset();
  connection.m_out += "HTTP/1.1 " + std::to_string(status) +
                      " Status\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
  connection.m_socket->m_writes = !m_cut.contains(connection.m_machine);
}

void Store::AnswerWatches() {
  while (!m_events.empty() &&
         Loop::Now() - m_events.front().m_at > kHistoryMs) {
    m_forgotten = m_events.front().m_revision;
    m_events.pop_front();
  }
  for (auto& [descriptor, connection] : m_connections) {
    if (!connection.m_watch)
      continue;
    const Watch watch = *connection.m_watch;
    if (watch.m_since < m_forgotten) {
      Respond(connection, 410, "{}");
      continue;
    }
    std::string events;
    for (const Event& event : m_events) {
      if (event.m_kind == watch.m_kind && event.m_revision > watch.m_since)
        events += (events.empty() ? "" : ",") + event.m_json;
    }
    if (events.empty() && Loop::Now() < watch.m_deadline)
      continue;
    Respond(connection, 200,
            R"({"events":[)" + events + R"(],"store_revision":)" +
                std::to_string(m_revision) + "}");
  }
}

void Store::AddEvent(const std::string& kind,
                     const std::string& object,
                     bool is_deleted) {
  m_events.push_back({m_revision, Loop::Now(), kind,
                      std::string(R"({"deleted":)") +
                          (is_deleted ? "true" : "false") + R"(,"object":)" +
                          object + "}"});
  AnswerWatches();
}

}  // namespace review
