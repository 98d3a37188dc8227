// The backend servers that a balancer knows, by name, token and service.
//
// A server whose record is gone keeps its place for a while: its flows may go
// on, since a record can lapse while the server lives.

#ifndef LIBSTEERING_SERVER_DIRECTORY_H_
#define LIBSTEERING_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"
#include "LibSteering/ids.h"
#include "LibSteering/known_server.h"

namespace steering {

enum class DirectoryChange {
  kNone,
  kAdded,
  kRestarted,
  kDraining,
  kReady,
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
  // A server that is gone is kept this long, the greatest age of a flow.
  static constexpr base::Duration kGoneServerRetention =
      std::chrono::seconds(60);

  // Queries.
  // The server that `token` names; null if none or more than one is known.
  KnownServer* FindByToken(FlowToken token) const;
  KnownServer* FindByName(const ServerName& name) const;
  KnownServer* FindByHandle(ServerHandle handle) const;
  // The servers of `service` that are registered, in order of their names.
  const std::vector<KnownServer*>& ServersOf(std::string_view service) const;
  // The servers of `service` whose records went without notice, `since` or
  // later: they may live and register again.
  std::vector<KnownServer*> ExpiredServersOf(std::string_view service,
                                             base::TimePoint since) const;
  // The token for new flows to `server`, or nothing if both of its tokens are
  // those of other servers too.
  std::optional<FlowToken> UniqueTokenOf(const KnownServer& server) const;
  // Names of all registered servers.
  std::vector<ServerName> RegisteredNames() const;
  std::vector<ServerRecord> RegisteredRecords() const;
  std::size_t Count(ServerState state) const;
  // Whether a server that takes openings is not known to be unreachable.
  bool HasReachableServer() const;

  // Commands.
  // Takes a record unless a newer one of the same server is known.
  DirectoryChange Apply(const ServerRecord& record, base::TimePoint now);
  DirectoryChange Remove(const ServerName& name, base::TimePoint now);
  // Forgets servers that are gone for kGoneServerRetention.
  void PurgeGoneServers(base::TimePoint now);

 private:
  using Tokens = std::unordered_multimap<std::uint32_t, KnownServer*>;

  KnownServer& Insert(const ServerRecord& record);
  void ListUnderService(KnownServer& server);
  void UnlistFromService(const KnownServer& server);
  void RemoveTokens(const KnownServer& server);

  std::map<ServerName, std::unique_ptr<KnownServer>> m_servers;
  std::unordered_map<std::uint32_t, KnownServer*> m_by_handle;
  Tokens m_by_token;
  std::map<std::string, std::vector<KnownServer*>, std::less<>> m_by_service;
  std::uint32_t m_next_handle = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVER_DIRECTORY_H_
