#include "remote_balancers.h"

#include <asio/steady_timer.hpp>

#include <cstddef>
#include <utility>
#include <variant>

namespace service {

namespace {

// Calls its callback once: when `count` arrivals have happened, or at its
// deadline.
class Barrier : public std::enable_shared_from_this<Barrier> {
 public:
  Barrier(asio::io_context& context,
          std::size_t count,
          std::function<void()> done)
      : m_timer(context), m_count(count), m_done(std::move(done)) {}

  void Start(base::Duration deadline) {
    m_timer.expires_after(deadline);
    m_timer.async_wait([self = shared_from_this()](const std::error_code&) {
      if (const auto done = std::exchange(self->m_done, nullptr))
        done();
    });
  }

  void Arrive() {
    if (--m_count == 0)
      m_timer.cancel();
  }

 private:
  asio::steady_timer m_timer;
  std::size_t m_count;
  std::function<void()> m_done;
};

}  // namespace

void RemoteBalancers::SetDataCentres(
    const std::set<base::DataCentreId>& data_centres) {
  const auto is_removed = [&data_centres](const auto& item) {
    return !data_centres.contains(item.first);
  };
  std::erase_if(m_endpoints, is_removed);
  std::erase_if(m_fetched_at, is_removed);
  for (const base::DataCentreId& data_centre : data_centres) {
    if (m_endpoints.try_emplace(data_centre).second)
      FetchVmList(data_centre, [] {});
  }
}

void RemoteBalancers::Refresh(std::function<void()> done) {
  const base::TimePoint now = base::Clock::now();
  std::vector<base::DataCentreId> stale;
  for (const auto& [data_centre, endpoints] : m_endpoints) {
    const auto fetched_at = m_fetched_at.find(data_centre);
    if (fetched_at == m_fetched_at.end() ||
        now - fetched_at->second > kCacheLifetime)
      stale.push_back(data_centre);
  }
  if (stale.empty())
    return done();
  const auto barrier =
      std::make_shared<Barrier>(m_context, stale.size(), std::move(done));
  barrier->Start(kRefreshTimeout);
  for (const base::DataCentreId& data_centre : stale)
    FetchVmList(data_centre, [barrier] { barrier->Arrive(); });
}

void RemoteBalancers::FetchVmList(const base::DataCentreId& data_centre,
                                  std::function<void()> on_response) {
  m_client.ListVms(
      data_centre, [this, data_centre, on_response = std::move(on_response),
                    lifetime = std::weak_ptr(m_lifetime)](
                       const platform::VmsResult& result) {
        if (lifetime.expired())
          return;
        const auto* vms = std::get_if<std::vector<platform::VmRecord>>(&result);
        const auto known = m_endpoints.find(data_centre);
        if (vms != nullptr && known != m_endpoints.end()) {
          known->second.clear();
          for (const platform::VmRecord& vm : *vms)
            known->second.push_back(vm.m_peer);
          m_fetched_at[data_centre] = base::Clock::now();
        }
        on_response();
      });
}

}  // namespace service
