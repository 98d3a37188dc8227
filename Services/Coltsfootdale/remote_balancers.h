// The balancers of the other data centres, by the platform's VM lists. The
// lists are read when a data centre becomes known and when somebody asks, so
// they cost nothing in between, and they are kept while the platform is down.

#ifndef SERVICES_COLTSFOOTDALE_REMOTE_BALANCERS_H_
#define SERVICES_COLTSFOOTDALE_REMOTE_BALANCERS_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibPlatform/platform_client.h"

namespace service {

// Used on the thread that runs the io_context. The client must outlive it.
class RemoteBalancers {
 public:
  // Peer endpoints of the listed VMs.
  using Endpoints = std::map<base::DataCentreId, std::vector<base::Endpoint>>;

  RemoteBalancers(asio::io_context& context, platform::PlatformClient& client)
      : m_context(context), m_client(client) {}

  // Queries.
  // An entry for each data centre, empty while its list was never read.
  const Endpoints& endpoints() const { return m_endpoints; }

  // Commands.
  // Reads the lists of those that are new, forgets those that are gone.
  void SetDataCentres(const std::set<base::DataCentreId>& data_centres);
  // Reads the lists that are older than kCacheLifetime and calls `done` once
  // they are there, after kRefreshTimeout at the latest.
  void Refresh(std::function<void()> done);

  static constexpr base::Duration kCacheLifetime = std::chrono::seconds(5);
  static constexpr base::Duration kRefreshTimeout =
      std::chrono::milliseconds(300);

 private:
  void FetchVmList(const base::DataCentreId& data_centre,
                   std::function<void()> on_response);

  asio::io_context& m_context;
  platform::PlatformClient& m_client;
  Endpoints m_endpoints;
  std::map<base::DataCentreId, base::TimePoint> m_fetched_at;
  // Expires with the object; callbacks check it.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_REMOTE_BALANCERS_H_
