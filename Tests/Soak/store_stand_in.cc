#include "store_stand_in.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <restinio/all.hpp>
#include <string_view>
#include <utility>

#include "LibBase/time.h"
#include "StandIns/event_loop.h"

namespace soak {

namespace {

using HttpServer =
    restinio::http_server_t<restinio::default_single_thread_traits_t>;
using RequestHandle = restinio::request_handle_t;

constexpr std::string_view kObjectsPath = "/-/objects/";
// So few that lists have several pages.
constexpr std::size_t kObjectsPerPage = 5;
constexpr std::chrono::seconds kRequestTimeout{40};
constexpr std::chrono::seconds kOldestCopy{60};

struct Object {
  std::uint64_t m_revision = 0;
  std::string m_spec;
};

struct Event {
  std::uint64_t m_revision = 0;
  std::string m_kind;
  std::string m_json;
};

struct Watch {
  RequestHandle m_handle;
  std::string m_kind;
  std::uint64_t m_since = 0;
  base::TimePoint m_deadline;
};

using Objects = std::map<std::string, std::map<std::string, Object>>;

// What the store held until a change.
struct PastState {
  base::TimePoint m_until;
  std::uint64_t m_revision = 0;
  Objects m_objects;
};

std::string ToJson(const std::string& name, const Object& object) {
  return R"({"meta":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.m_revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         object.m_spec + R"(,"status":null})";
}

std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

struct StoreStandIn::Implementation {
  Implementation(stand_ins::EventLoop* loop, base::Endpoint endpoint)
      : m_loop(loop),
        m_server(restinio::external_io_context(loop->Context()),
                 [&](auto& settings) {
                   settings.address(ToString(endpoint.m_address))
                       .port(endpoint.m_port)
                       .handle_request_timeout(kRequestTimeout)
                       .read_next_http_message_timelimit(kRequestTimeout)
                       .request_handler([this](const RequestHandle& handle) {
                         HandleRequest(handle);
                         return restinio::request_accepted();
                       });
                 }) {
    m_server.open_sync();
  }
  ~Implementation() { m_server.close_sync(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void Respond(const RequestHandle& handle,
               std::uint16_t status,
               std::string body) const {
    handle->create_response({restinio::http_status_code_t(status), "Status"})
        .append_header(restinio::http_field::content_type, "application/json")
        .append_header("Store-Era", std::to_string(m_era))
        .set_body(std::move(body))
        .done();
  }

  void HandleRequest(const RequestHandle& handle) {
    const std::string path(handle->header().path());
    if (m_fault == StoreFault::kSilent || !path.starts_with(kObjectsPath)) {
      m_unanswered_requests.push_back(handle);
      return;
    }
    if (m_fault != StoreFault::kNone) {
      Respond(handle, m_fault == StoreFault::kBusy ? 503 : 429, "{}");
      return;
    }
    const std::string kind = path.substr(kObjectsPath.size());
    const auto query = restinio::parse_query(handle->header().query());
    if (query.has("watch")) {
      const auto wait = std::chrono::milliseconds(ToNumber(
          std::string_view(query["wait_ms"].data(), query["wait_ms"].size())));
      m_watches.push_back({handle, kind,
                           ToNumber(std::string_view(query["watch"].data(),
                                                     query["watch"].size())),
                           stand_ins::EventLoop::Now() + wait});
      PollWatches();
      return;
    }
    List(handle, kind,
         query.has("after") ? std::string(query["after"]) : std::string());
  }

  void List(const RequestHandle& handle,
            const std::string& kind,
            const std::string& after) {
    std::string items;
    std::size_t count = 0;
    const auto& objects = m_objects[kind];
    auto object = objects.upper_bound(after);
    for (; object != objects.end() && count < kObjectsPerPage;
         ++object, ++count)
      items += (count == 0 ? "" : ",") + ToJson(object->first, object->second);
    Respond(handle, 200,
            R"({"items":[)" + items + R"(],"more":)" +
                (object == objects.end() ? "false" : "true") +
                R"(,"store_revision":)" + std::to_string(m_revision) + "}");
  }

  void PollWatches() {
    if (m_fault != StoreFault::kNone)
      return;
    const base::TimePoint now = stand_ins::EventLoop::Now();
    std::erase_if(m_watches, [&](const Watch& watch) {
      if (watch.m_since < m_compacted_revision || watch.m_since > m_revision) {
        Respond(watch.m_handle, 410, "{}");
        return true;
      }
      std::string events;
      for (const Event& event : m_events) {
        if (event.m_kind == watch.m_kind && event.m_revision > watch.m_since)
          events += (events.empty() ? "" : ",") + event.m_json;
      }
      if (events.empty() && now < watch.m_deadline)
        return false;
      Respond(watch.m_handle, 200,
              R"({"events":[)" + events + R"(],"store_revision":)" +
                  std::to_string(m_revision) + "}");
      return true;
    });
  }

  // To be called before a change of the objects.
  void KeepPastState() {
    const base::TimePoint now = stand_ins::EventLoop::Now();
    m_past.push_back({now, m_revision, m_objects});
    while (now - m_past.front().m_until > kOldestCopy)
      m_past.pop_front();
  }

  void Restore(base::Duration age) {
    const base::TimePoint copied_at = stand_ins::EventLoop::Now() - age;
    const auto copy = std::find_if(
        m_past.begin(), m_past.end(),
        [&](const PastState& state) { return state.m_until > copied_at; });
    ++m_era;
    if (copy != m_past.end()) {
      m_revision = copy->m_revision;
      m_objects = copy->m_objects;
      m_past.erase(copy, m_past.end());
    }
    m_compacted_revision = std::min(m_compacted_revision, m_revision);
    std::erase_if(m_events, [this](const Event& event) {
      return event.m_revision > m_revision;
    });
    PollWatches();
  }

  void AddEvent(const std::string& kind,
                const std::string& object,
                bool is_deleted) {
    m_events.push_back({m_revision, kind,
                        std::string(R"({"deleted":)") +
                            (is_deleted ? "true" : "false") + R"(,"object":)" +
                            object + "}"});
    if (m_on_change)
      m_on_change(kind, m_era, m_revision);
    PollWatches();
  }

  stand_ins::EventLoop* m_loop;
  std::uint64_t m_revision = 1;
  std::uint64_t m_compacted_revision = 0;
  std::uint64_t m_era = 1;
  Objects m_objects;
  // In the order of time.
  std::deque<PastState> m_past;
  std::deque<Event> m_events;
  std::list<Watch> m_watches;
  // Requests that never get a response.
  std::list<RequestHandle> m_unanswered_requests;
  StoreFault m_fault = StoreFault::kNone;
  ChangeHandler m_on_change;
  HttpServer m_server;
};

StoreStandIn::StoreStandIn(stand_ins::EventLoop* loop, base::Endpoint endpoint)
    : m_implementation(std::make_unique<Implementation>(loop, endpoint)) {
  constexpr auto kPollPeriod = std::chrono::milliseconds(20);
  loop->Timers().SubscribeEvery(
      stand_ins::EventLoop::Now(), kPollPeriod,
      [this](base::TimePoint) { m_implementation->PollWatches(); });
}

StoreStandIn::~StoreStandIn() = default;

std::vector<std::string> StoreStandIn::Names(const std::string& kind) const {
  std::vector<std::string> names;
  for (const auto& [name, object] : m_implementation->m_objects[kind])
    names.push_back(name);
  return names;
}

void StoreStandIn::SetChangeHandler(ChangeHandler handler) {
  m_implementation->m_on_change = std::move(handler);
}

void StoreStandIn::Put(const std::string& kind,
                       const std::string& name,
                       const std::string& spec) {
  auto& objects = m_implementation->m_objects[kind];
  const auto found = objects.find(name);
  if (found != objects.end() && found->second.m_spec == spec)
    return;
  m_implementation->KeepPastState();
  Object& object = objects[name];
  object = {++m_implementation->m_revision, spec};
  m_implementation->AddEvent(kind, ToJson(name, object), false);
}

void StoreStandIn::Remove(const std::string& kind, const std::string& name) {
  auto& objects = m_implementation->m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end())
    return;
  m_implementation->KeepPastState();
  found->second.m_revision = ++m_implementation->m_revision;
  const std::string json = ToJson(name, found->second);
  objects.erase(found);
  m_implementation->AddEvent(kind, json, true);
}

void StoreStandIn::SetFault(StoreFault fault) {
  m_implementation->m_fault = fault;
  m_implementation->PollWatches();
}

void StoreStandIn::Restore(base::Duration age) {
  m_implementation->Restore(age);
}

void StoreStandIn::Compact() {
  m_implementation->m_events.clear();
  m_implementation->m_compacted_revision = ++m_implementation->m_revision;
  m_implementation->PollWatches();
}

}  // namespace soak
