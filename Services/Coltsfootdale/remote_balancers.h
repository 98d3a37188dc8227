// The balancers of the other data centres according to the platform's VM lists.
// The lists are fetched when a data centre is added and when a refresh is
// requested, so that they cause no load in between. They are kept while the
// platform cannot be reached.

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

// Used on the thread that runs the io_context. The client must outlive the
// object.
class RemoteBalancers {
 public:
  // The peer endpoints of the listed VMs of each data centre.
  using Endpoints = std::map<base::DataCentreId, std::vector<base::Endpoint>>;

  RemoteBalancers(asio::io_context& context, platform::PlatformClient& client)
      : m_context(context), m_client(client) {}

  // Queries.
  // Has an entry for each data centre, empty until its list was fetched.
  const Endpoints& endpoints() const { return m_endpoints; }

  // Commands.
  // Fetches the lists of the data centres that are new and removes the entries
  // of those that are not in `data_centres`.
  void SetDataCentres(const std::set<base::DataCentreId>& data_centres);
  // Fetches the lists that are older than kCacheLifetime. Calls `done` when all
  // requests have ended, after kRefreshTimeout at the latest.
  void Refresh(std::function<void()> done);

  static constexpr base::Duration kCacheLifetime = std::chrono::seconds(5);
  static constexpr base::Duration kRefreshTimeout =
      std::chrono::milliseconds(300);

 private:
  // Fetches the list and calls `on_response`, also if the request failed.
  void FetchVmList(const base::DataCentreId& data_centre,
                   std::function<void()> on_response);

  asio::io_context& m_context;
  platform::PlatformClient& m_client;
  Endpoints m_endpoints;
  // When the list of each data centre was last fetched.
  std::map<base::DataCentreId, base::TimePoint> m_fetched_at;
  // Callbacks hold weak pointers to it and check whether the object still
  // exists.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_REMOTE_BALANCERS_H_
