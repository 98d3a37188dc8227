// A model of the store, of a reader that feeds a balancer, and of the calls and
// messages between them, which arrive in any order, twice, late or not at all.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "LibBase/random.h"
#include "LibCatalog/collection_watcher.h"
#include "LibEdge/store_view.h"

namespace edge {

namespace {

using steering::ServerName;

constexpr std::size_t kPageSize = 3;
constexpr int kSteps = 600;

struct Response {
  catalog::CallResult m_result;
  std::vector<ServerEvent> m_servers;
};

class ModelStore {
 public:
  catalog::Revision KnownRevision() const { return catalog::Revision(m_now); }
  const std::map<ServerName, steering::ServerRecord>& objects() const {
    return m_objects;
  }
  // The revision at which a server left. Nothing for the others.
  std::optional<catalog::Revision> LeftAt(const ServerName& name) const {
    const auto found = m_left.find(name);
    return found == m_left.end() ? std::nullopt : std::optional(found->second);
  }

  // Registers, changes, removes or registers again one of some servers.
  void Change(base::Random& random) {
    const ServerName name("i-" + std::to_string(random.Below(24)));
    ++m_now;
    if (m_objects.contains(name) && random.Below(2) == 0) {
      m_objects.erase(name);
      m_left[name] = KnownRevision();
      m_events.push_back({m_now, {name, std::nullopt}});
      return;
    }
    // Each name returns a few times at most, so that some leave for good.
    if (!m_objects.contains(name) && ++m_registrations[name] > 3)
      return;
    steering::ServerRecord record;
    record.m_name = name;
    record.m_service = "portal";
    record.m_revision = KnownRevision();
    if (random.Below(3) == 0)
      record.m_state = steering::ServerState::kDraining;
    m_left.erase(name);
    m_objects[name] = record;
    m_events.push_back({m_now, {name, record}});
  }

  Response Respond(const catalog::CollectionCall& call,
                   base::Random& random) const {
    const auto* watch = std::get_if<catalog::WatchCall>(&call);
    return watch == nullptr ? Page(std::get<catalog::ListCall>(call))
                            : Changes(watch->m_since, random);
  }

 private:
  Response Page(const catalog::ListCall& call) const {
    catalog::PageResponse page{KnownRevision(), false, ""};
    Response response;
    for (const auto& [name, record] : m_objects) {
      if (name.value() <= call.m_after)
        continue;
      page.m_has_more = response.m_servers.size() == kPageSize;
      if (page.m_has_more)
        break;
      page.m_last_name = name.value();
      response.m_servers.push_back({name, record});
    }
    response.m_result = page;
    return response;
  }

  Response Changes(catalog::Revision since, base::Random& random) const {
    if (random.Below(20) == 0)
      return {catalog::CallFailure::kHistoryGone, {}};
    Response response{catalog::ChangesResponse{KnownRevision()}, {}};
    for (const auto& [revision, event] : m_events) {
      if (catalog::Revision(revision) > since)
        response.m_servers.push_back(event);
    }
    return response;
  }

  std::uint64_t m_now = 1;
  std::map<ServerName, steering::ServerRecord> m_objects;
  std::vector<std::pair<std::uint64_t, ServerEvent>> m_events;
  std::map<ServerName, catalog::Revision> m_left;
  std::map<ServerName, int> m_registrations;
};

// A balancer's watcher and view, connected as in Services/Edge.
class ModelBalancer {
 public:
  ModelBalancer(std::uint64_t seed, base::TimePoint now)
      : m_watcher({}, base::Random(seed), now),
        m_steering({}, seed, now),
        m_view(m_steering) {}

  catalog::Revision KnownRevision() const { return m_watcher.KnownRevision(); }
  std::vector<ServerName> Servers() const {
    return m_steering.directory().RegisteredNames();
  }
  catalog::ViewDelta MakeDelta(catalog::Revision since) const {
    return m_view.MakeDelta({since, {}, {}}, KnownRevision(), {});
  }

  // The response that the store sends now to the call that is due.
  void Call(const ModelStore& store,
            base::Random& random,
            base::TimePoint now) {
    if (const auto call = m_watcher.StartDueCall(now)) {
      const auto* list = std::get_if<catalog::ListCall>(&*call);
      m_is_list = list != nullptr;
      if (m_is_list && list->m_after.empty())
        m_pages.clear();
      m_response = store.Respond(*call, random);
    }
  }

  void ReceiveResponse(base::TimePoint now) {
    if (!m_response)
      return;
    Response response = *std::exchange(m_response, std::nullopt);
    const auto outcome = m_watcher.HandleResult(response.m_result, now);
    if (outcome.m_is_store_lost)
      m_view.OnStoreLost(catalog::OutageSource::kServers);
    if (outcome.m_is_store_regained)
      m_view.OnStoreRegained(catalog::OutageSource::kServers, now);
    if (m_is_list) {
      m_pages.insert(m_pages.end(), response.m_servers.begin(),
                     response.m_servers.end());
      if (outcome.m_update == catalog::CollectionUpdate::kListComplete)
        response.m_servers = m_pages;
    }
    m_view.ApplyServerUpdate(outcome.m_update, response.m_servers,
                             KnownRevision(), now);
  }

  void LoseResponse() {
    if (m_response)
      m_response = Response{catalog::CallFailure::kTimedOut, {}};
  }

  void ReceiveDelta(const catalog::ViewDelta& delta, base::TimePoint now) {
    if (delta.m_since <= KnownRevision() &&
        m_watcher.AdoptRevision(delta.m_servers_revision))
      m_view.ApplyServerDelta(delta, now);
  }

  void Sweep(base::TimePoint now) { m_view.ApplyDueRemovals(now); }

 private:
  catalog::CollectionWatcher m_watcher;
  steering::Steering m_steering;
  StoreView m_view;
  std::vector<ServerEvent> m_pages;
  bool m_is_list = false;
  // The response that is on its way.
  std::optional<Response> m_response;
};

// Checks that no revision decreases and that no server that has left returns.
class ViewChecker {
 public:
  void Check(const ModelBalancer& balancer, const ModelStore& store) {
    REQUIRE(balancer.KnownRevision() >= m_revision);
    m_revision = balancer.KnownRevision();
    const auto servers = balancer.Servers();
    for (const auto& [name, left_at] : m_gone) {
      // A server that registered again since then may be known again.
      if (store.LeftAt(name) == left_at)
        REQUIRE(!std::ranges::binary_search(servers, name));
    }
    for (const ServerName& name : m_seen) {
      const auto left_at = store.LeftAt(name);
      if (left_at && *left_at <= m_revision &&
          !std::ranges::binary_search(servers, name))
        m_gone[name] = *left_at;
    }
    m_seen.insert(servers.begin(), servers.end());
    for (const auto& [name, record] : store.objects())
      m_seen.insert(name);
  }

 private:
  catalog::Revision m_revision;
  std::set<ServerName> m_seen;
  std::map<ServerName, catalog::Revision> m_gone;
};

struct Model {
  explicit Model(std::uint64_t seed)
      : m_random(seed),
        m_reader(seed + 1, m_now),
        m_balancer(seed + 2, m_now) {}

  void Step() {
    m_now += std::chrono::milliseconds(m_random.Below(200));
    switch (m_random.Below(10)) {
      case 0:
      case 1:
        m_store.Change(m_random);
        break;
      case 2:
        m_reader.Call(m_store, m_random, m_now);
        m_reader.ReceiveResponse(m_now);
        break;
      case 3:
        m_balancer.Call(m_store, m_random, m_now);
        break;
      case 4:
        m_balancer.ReceiveResponse(m_now);
        break;
      case 5:
        if (m_random.Below(4) == 0)
          m_balancer.LoseResponse();
        break;
      case 6:
        // From what the balancer knew some time ago, or from the start.
        m_deltas.push_back(m_reader.MakeDelta(
            m_random.Below(4) == 0 ? catalog::Revision() : m_polled));
        m_polled = m_balancer.KnownRevision();
        break;
      case 7:
      case 8:
        ReceiveDelta();
        break;
      default:
        m_balancer.Sweep(m_now);
    }
    m_checker.Check(m_balancer, m_store);
  }

  // Receives one of the deltas, in any order. It stays to be received again, or
  // is deleted with others that are never received.
  void ReceiveDelta() {
    if (m_deltas.empty())
      return;
    const std::size_t index = m_random.Below(m_deltas.size());
    m_balancer.ReceiveDelta(m_deltas[index], m_now);
    if (m_random.Below(3) == 0)
      m_deltas.erase(m_deltas.begin() + static_cast<std::ptrdiff_t>(index));
  }

  // Lets the balancer's own calls succeed until nothing is on its way.
  void Settle() {
    for (int i = 0; i < 60; ++i) {
      m_balancer.Call(m_store, m_random, m_now);
      m_balancer.ReceiveResponse(m_now);
      m_now += std::chrono::milliseconds(400);
      m_balancer.Sweep(m_now);
      m_checker.Check(m_balancer, m_store);
    }
  }

  base::Random m_random;
  base::TimePoint m_now{std::chrono::hours(1)};
  ModelStore m_store;
  ModelBalancer m_reader;
  ModelBalancer m_balancer;
  catalog::Revision m_polled;
  std::vector<catalog::ViewDelta> m_deltas;
  ViewChecker m_checker;
};

}  // namespace

TEST_CASE(
    "in any order of responses and peers' messages no revision decreases, no "
    "server that has left returns, and the view becomes that of the store") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    Model model(seed);
    for (int i = 0; i < kSteps; ++i)
      model.Step();
    model.Settle();
    std::vector<ServerName> expected;
    for (const auto& [name, record] : model.m_store.objects())
      expected.push_back(name);
    CHECK(model.m_balancer.Servers() == expected);
  }
}

}  // namespace edge
