// Finds the servers that answer much more slowly than the others of their
// service, from the answers to this balancer's callers.

#ifndef LIBSTEERING_SLOW_SERVERS_H_
#define LIBSTEERING_SLOW_SERVERS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibSteering/answer_reference.h"
#include "LibSteering/ids.h"
#include "LibSteering/known_server.h"

namespace steering {

struct SlowServerChange {
  ServerHandle m_server;
  bool m_is_slow = false;
};

class SlowServers {
 public:
  // Answers of further routes are not judged. A reference takes 1.1 kB.
  static constexpr std::size_t kMaximumReferences = 256;
  // A reference without answers for this long is removed.
  static constexpr base::Duration kReferenceRetention =
      RecentTimes::kMaximumAge;
  // The age up to which an answer tells about the load of its service.
  static constexpr base::Duration kLoadAge = std::chrono::seconds(10);
  // At most one server in this many is avoided, so that the others can carry
  // the load. In a service with fewer than kMinimumServers servers none is,
  // since it is not known which one is usual.
  static constexpr std::size_t kAvoidableShare = 5;
  static constexpr std::size_t kMinimumServers = 3;
  // An avoided server is tried with one opening in this many of those that it
  // would get otherwise. Each trial of a slow server is a slow answer: with 4,
  // the 99.9th percentile of the answers was a third higher at a budget of 5%
  // (benchmark_slow_answers, one server eight times slower).
  static constexpr std::size_t kTrialShare = 8;

  // Queries.
  bool HasAny() const { return !m_slow.empty(); }
  std::size_t size() const { return m_slow.size(); }
  // The load of `service` as its answer times show it, in requests in progress
  // per busy slot; zero if unknown.
  double LoadOf(std::string_view service, base::TimePoint now) const;
  // `servers` without those to be avoided. `servers` are those of one service.
  std::vector<KnownServer*> WithoutSlow(std::span<KnownServer* const> servers,
                                        base::TimePoint now) const;

  // Commands.
  // Records that `server` took `answer_time` for a request to `address`.
  void RecordAnswer(KnownServer& server,
                    base::Endpoint address,
                    base::Duration answer_time,
                    base::TimePoint now);
  // Counts an opening for `service`. Returns the slow server that is to be
  // tried with it, or null. The next trial of this server is due after a
  // further interval, whether the opening is sent there or not. `find` returns
  // null for an unknown server.
  KnownServer* CountOpening(
      const std::function<KnownServer*(ServerHandle)>& find,
      std::string_view service,
      base::TimePoint now);
  // Removes the servers that are no longer slow or known, and old references.
  // `find` returns null for an unknown server.
  void Sweep(const std::function<KnownServer*(ServerHandle)>& find,
             base::TimePoint now);
  // The servers that became slow or sound since the last call.
  std::vector<SlowServerChange> TakeChanges();

 private:
  using References = std::unordered_map<base::Endpoint, AnswerReference>;

  struct SlowServer {
    ServerHandle m_server;
    std::size_t m_openings_since_trial = 0;
  };

  // Null if there are too many references.
  AnswerReference* ReferenceOf(const std::string& service,
                               base::Endpoint address);

  std::map<std::string, References, std::less<>> m_references;
  std::size_t m_reference_count = 0;
  // In the order in which the servers became slow.
  std::vector<SlowServer> m_slow;
  std::vector<SlowServerChange> m_changes;
};

}  // namespace steering

#endif  // LIBSTEERING_SLOW_SERVERS_H_
