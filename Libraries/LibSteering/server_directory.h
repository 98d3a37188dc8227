// Holds the backend servers that a balancer knows, by name, token and service.
//
// The directory keeps a server for some time after its record is gone. A record
// can expire while the server still runs and its flows continue.

#ifndef LIBSTEERING_SERVER_DIRECTORY_H_
#define LIBSTEERING_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/store_revision.h"
#include "LibBase/time.h"
#include "LibSteering/ids.h"
#include "LibSteering/known_server.h"
#include "LibSteering/service_index.h"

namespace steering {

// How a server record or its removal changed the directory.
enum class DirectoryChange {
  // None of the changes below. Other fields of the record may have changed.
  kNone,
  // The server registered for the first time, or after its record was removed.
  kAdded,
  // The server registered with another incarnation.
  kRestarted,
  // The server started to drain.
  kDraining,
  // The server stopped draining and accepts openings again.
  kReady,
  // The server's record was removed.
  kGone,
};

inline constexpr base::EnumTable<DirectoryChange, 6> kDirectoryChangeNames{{
    {DirectoryChange::kNone, "none"},
    {DirectoryChange::kAdded, "server_added"},
    {DirectoryChange::kRestarted, "server_restarted"},
    {DirectoryChange::kDraining, "server_draining"},
    {DirectoryChange::kReady, "server_ready"},
    {DirectoryChange::kGone, "server_gone"},
}};

class ServerDirectory {
 public:
  // How long the directory keeps a server that is gone: the greatest age of a
  // flow.
  static constexpr base::Duration kGoneServerRetention =
      std::chrono::seconds(60);
  // The number of data centres whose end of an evacuation is kept. Any name can
  // be evacuated, so the number has to be bounded.
  static constexpr std::size_t kMaximumEvacuationEnds = 1024;

  // Openings to a service with more servers are placed among a sample of them.
  // The largest service in operation has 120 servers, and the largest test
  // fleets have 300 balancers with 3,000 servers.
  static constexpr std::size_t kMaximumScannedServers = 300;

  // Queries.
  // The server with `token`; null if no server or more than one has it.
  KnownServer* FindByToken(FlowToken token) const;
  // FindByName and FindByHandle return null if the server is not known.
  KnownServer* FindByName(const ServerName& name) const;
  KnownServer* FindByHandle(ServerHandle handle) const;
  // The registered servers of `service` in order of their names.
  const std::vector<KnownServer*>& ServersOf(std::string_view service) const;
  // Sums over the registered servers of `service`.
  ServiceTotals TotalsOf(std::string_view service) const;
  // Whether an opening to `service` may go to a server that is not in `own`.
  bool HasPlaceableOutside(std::string_view service,
                           const base::DataCentreId& own) const;
  // The servers among which an opening to `service` is placed: nothing, that is
  // all registered ones, if there are kMaximumScannedServers or fewer.
  // Otherwise a random sample of those that may get openings.
  std::optional<std::vector<KnownServer*>> SampleOf(
      std::string_view service,
      const SampleOptions& options,
      base::Random& random) const;
  // The servers of `service` whose records were removed at `since` or later
  // without draining first. They may still run and register again.
  std::vector<KnownServer*> ExpiredServersOf(std::string_view service,
                                             base::TimePoint since) const;
  // The token for new flows to `server`; nothing if other servers share both
  // tokens.
  std::optional<FlowToken> UniqueTokenOf(const KnownServer& server) const;
  std::vector<ServerName> RegisteredNames() const;
  // The records of registered servers that are newer than `revision` or have
  // no revision.
  std::vector<ServerRecord> RecordsNewerThan(
      base::StoreRevision revision) const;
  // The number of registered servers in `state`.
  std::size_t Count(ServerState state) const;
  // The registered servers by service, those of each in order of their names.
  const std::map<std::string, std::vector<KnownServer*>, std::less<>>&
  ByService() const {
    return m_by_service;
  }
  // Whether any server that accepts openings does not count as unreachable. An
  // evacuation makes no difference, because open flows continue.
  bool HasReachableServer() const;
  // The number of registered servers in each data centre that has any.
  std::map<base::DataCentreId, std::size_t> CountByDataCentre() const;
  const std::set<base::DataCentreId>& Evacuated() const { return m_evacuated; }
  // When the last evacuation of `data_centre` ended; nothing if this directory
  // has seen no end of one.
  std::optional<base::TimePoint> EvacuationEndedAt(
      const base::DataCentreId& data_centre) const;

  // Commands.
  // From now on, a server that was not known before has just started. The
  // servers of the first list may have run for long.
  void SetHasFirstList() { m_has_first_list = true; }
  // Adds or updates a server. Ignores a record that is older than the known
  // record of the same server, see IsOlder.
  DirectoryChange Apply(const ServerRecord& record, base::TimePoint now);
  // Marks a server as gone, because its record was removed.
  DirectoryChange Remove(const ServerName& name, base::TimePoint now);
  // Replaces the data centres whose servers get nothing new. They need not have
  // any server.
  void SetEvacuated(std::set<base::DataCentreId> evacuated,
                    base::TimePoint now);
  // Must be called after a change of the requests in progress or of the
  // reachability of `server`.
  static void UpdateIndex(KnownServer& server);
  // Deletes servers that have been gone for kGoneServerRetention.
  void PurgeGoneServers(base::TimePoint now);

 private:
  // Whether the server wrote `left` before `right`, by its own account. False
  // if either does not tell.
  static bool WasWrittenBefore(const ServerRecord& left,
                               const ServerRecord& right);
  // Whether `record` is older than the known record of `server`. Within an era
  // of the store the revision decides. A store that came back from a copy of
  // its past has outdated records at new revisions, so across eras the server's
  // own account decides, until the store's record is written again.
  static bool IsOlder(const ServerRecord& record, const KnownServer& server);

  using Tokens = std::unordered_multimap<std::uint32_t, KnownServer*>;

  KnownServer& Insert(const ServerRecord& record);
  void ListUnderService(KnownServer& server);
  void UnlistFromService(const KnownServer& server);
  // The server must be registered, with the record by which it was added.
  void RemoveFromIndex(KnownServer& server);
  void RemoveTokens(const KnownServer& server);

  std::map<ServerName, std::unique_ptr<KnownServer>> m_servers;
  std::unordered_map<std::uint32_t, KnownServer*> m_by_handle;
  Tokens m_by_token;
  // The registered servers of each service in order of their names.
  std::map<std::string, std::vector<KnownServer*>, std::less<>> m_by_service;
  std::map<std::string, ServiceIndex, std::less<>> m_indices;
  // The removed servers in the order of their removal. One that registered
  // again has another m_gone_since.
  std::deque<std::pair<base::TimePoint, ServerName>> m_gone;
  base::TimePoint m_last_removal_at = base::TimePoint::min();
  std::uint32_t m_next_handle = 0;
  std::set<base::DataCentreId> m_evacuated;
  std::map<base::DataCentreId, base::TimePoint> m_evacuation_ends;
  bool m_has_first_list = false;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVER_DIRECTORY_H_
