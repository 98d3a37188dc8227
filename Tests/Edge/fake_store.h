// A store with one server, one manifest and the evacuations that a test sets.

#ifndef TESTS_EDGE_FAKE_STORE_H_
#define TESTS_EDGE_FAKE_STORE_H_

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>

#include "LibBase/ipv4.h"
#include "LibEventLoop/http_text_server.h"

namespace edge {

inline constexpr base::Ipv4Address kLoopback(0x7F000001);

// Watches return at once, with all objects as changed and the removed ones as
// deleted.
class FakeStore {
 public:
  explicit FakeStore(asio::io_context& context)
      : m_server(event_loop::HttpTextServer::Create(
                     context,
                     {kLoopback, 0},
                     [this](std::string_view path) { return Respond(path); })
                     .value()) {}

  // Queries.
  base::Endpoint endpoint() const { return m_server->endpoint(); }
  int EvacuationCalls() const { return m_evacuation_calls; }
  int UnreadableAnswers() const { return m_unreadable_answers; }

  // Commands.
  void SetManifestVersion(int version) {
    m_manifest_version = version;
    ++m_revision;
  }
  void MakeServersUnreadable() { m_are_servers_unreadable = true; }
  void Evacuate(const std::string& data_centre) {
    ++m_revision;
    m_evacuated.insert(data_centre);
  }
  void Lift(const std::string& data_centre) {
    ++m_revision;
    m_evacuated.erase(data_centre);
    m_lifted.insert(data_centre);
  }
  // Watches of evacuations from the present revision or an earlier one get
  // status 410.
  void ForgetHistory() {
    m_lifted.clear();
    m_history_from = ++m_revision;
  }
  void SetAway(bool is_away) { m_is_away = is_away; }
  void SetEvacuationsMissing() { m_are_evacuations_missing = true; }

 private:
  static std::string ObjectOf(const std::string& name,
                              int revision,
                              std::string_view spec) {
    return fmt::format(
        R"({{"meta":{{"name":"{}","revision":{}}},"spec":{},"status":null}})",
        name, revision, spec);
  }

  event_loop::TextResponse Respond(std::string_view path) {
    const bool is_evacuation = path.find("/evacuations") != path.npos;
    m_evacuation_calls += is_evacuation ? 1 : 0;
    if (m_is_away)
      return {503, "{}"};
    if (is_evacuation)
      return RespondWithEvacuations(path);
    if (path.find("/servers") == path.npos)
      return Wrap(
          path,
          {ObjectOf("main", m_revision,
                    fmt::format(R"({{"version":{},"routes":[],"services":[],)"
                                R"("limits":{{"idle_timeout_ms":15000}}}})",
                                m_manifest_version))},
          {});
    if (m_are_servers_unreadable) {
      ++m_unreadable_answers;
      return {200, "{"};
    }
    return Wrap(
        path,
        {ObjectOf(
            "i-00000000a1", m_revision,
            R"({"backend":"portal","address":"127.0.0.1:9","zone":"hall-0",)"
            R"("version":"v1","max_concurrency":3,"state":"ready",)"
            R"("warmup_left_ms":0,"seq":1,"born":1})")},
        {});
  }

  event_loop::TextResponse RespondWithEvacuations(std::string_view path) const {
    if (m_are_evacuations_missing)
      return {404, "{}"};
    const auto watch = path.find("watch=");
    if (watch != path.npos &&
        std::stoi(std::string(path.substr(watch + 6))) < m_history_from)
      return {410, "{}"};
    std::vector<std::string> objects;
    std::vector<std::string> removed;
    for (const std::string& name : m_evacuated)
      objects.push_back(ObjectOf(name, m_revision, "{}"));
    for (const std::string& name : m_lifted)
      removed.push_back(ObjectOf(name, m_revision, "{}"));
    return Wrap(path, objects, removed);
  }

  // The response to the list or watch of `path`.
  event_loop::TextResponse Wrap(std::string_view path,
                                const std::vector<std::string>& objects,
                                const std::vector<std::string>& removed) const {
    if (path.find("watch=") == path.npos)
      return {200, fmt::format(R"({{"items":[{}],"more":false,)"
                               R"("store_revision":{}}})",
                               fmt::join(objects, ","), m_revision)};
    std::vector<std::string> events;
    events.reserve(removed.size() + objects.size());
    for (const std::string& object : removed)
      events.push_back(R"({"deleted":true,"object":)" + object + "}");
    for (const std::string& object : objects)
      events.push_back(R"({"deleted":false,"object":)" + object + "}");
    return {200, fmt::format(R"({{"events":[{}],"store_revision":{}}})",
                             fmt::join(events, ","), m_revision)};
  }

  int m_revision = 5;
  int m_history_from = 0;
  int m_manifest_version = 1;
  int m_evacuation_calls = 0;
  int m_unreadable_answers = 0;
  bool m_is_away = false;
  bool m_are_servers_unreadable = false;
  bool m_are_evacuations_missing = false;
  std::set<std::string> m_evacuated;
  std::set<std::string> m_lifted;
  std::unique_ptr<event_loop::HttpTextServer> m_server;
};

}  // namespace edge

#endif  // TESTS_EDGE_FAKE_STORE_H_
