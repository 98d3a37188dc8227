// Finds flows that went silent: one end sends the same payload again and again
// and no balancer sees the other end acknowledge it. A balancer sees a share
// of a flow's packets only, so what it notices is a suspicion; it asks all
// others to watch the stream with it and judges when each has replied.
// docs/DESIGN.md section 11 explains the rules.

#ifndef LIBFLOW_SILENCE_DETECTOR_H_
#define LIBFLOW_SILENCE_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibFlow/retransmission_table.h"
#include "LibFlow/silence_budget.h"
#include "LibFlow/silence_settings.h"
#include "LibFlow/stream_packet.h"
#include "LibFlow/watch_message.h"
#include "LibFlow/watch_table.h"

namespace flow {

// A flow that is to be reset at both ends.
struct SilentFlow {
  // A repetition that was seen here.
  StreamPacket m_repetition;
  // From its start to the end of the newest payload that any balancer saw.
  std::uint32_t m_extent_bytes = 0;
  // Since the last new data of the end that repeats itself passed here.
  base::Duration m_silent_for{};
};

// A reply to the balancer that asked.
struct AddressedReply {
  base::BalancerId m_to;
  WatchReply m_reply;
};

struct SilenceActions {
  // To all other balancers.
  std::optional<WatchRequest> m_request;
  std::vector<AddressedReply> m_replies;
  std::vector<SilentFlow> m_silent;
};

class SilenceDetector {
 public:
  SilenceDetector(const SilenceSettings& settings, base::TimePoint now);

  // Queries.
  std::uint64_t suspicion_count() const { return m_suspicions; }

  // Commands.
  // Each packet that came from the fabric, not from a balancer, and that this
  // balancer has sent on.
  void Observe(const StreamPacket& packet, base::TimePoint now);
  void HandleRequest(base::BalancerId from,
                     const WatchRequest& request,
                     base::TimePoint now);
  void HandleReply(base::BalancerId from, const WatchReply& reply);
  // Call it every 100 to 250 ms. `peers` are the balancers that the fabric
  // sends packets to, this one not counted. A longer gap between two calls
  // means that this process stood still: all watches are given up.
  SilenceActions Advance(base::TimePoint now,
                         std::span<const base::BalancerId> peers);
  // Gives up all watches: what was seen does not count.
  void CancelWatches();

 private:
  struct Suspect {
    StreamPacket m_packet;
    base::TimePoint m_silent_since;
    base::TimePoint m_suspected_at;
    // Over the watches so far, none of which saw an answer.
    std::uint32_t m_watched_repetitions = 0;
    std::uint32_t m_watches = 0;
  };
  // Streams this balancer asked about.
  struct OwnWatch {
    WatchId m_id;
    base::TimePoint m_started;
    std::vector<Suspect> m_suspects;
    std::vector<base::BalancerId> m_requested_peers;
    std::map<base::BalancerId, WatchReply> m_replies;

    bool HasRepliesFromAll(std::span<const base::BalancerId> peers) const;
  };
  struct AggregatedReport {
    bool m_is_answered = false;
    std::uint32_t m_repetitions = 0;
    std::uint32_t m_observations = 0;
    std::uint32_t m_extent_bytes = 0;
  };
  // Streams another balancer asked about.
  struct PeerWatch {
    WatchId m_id;
    base::TimePoint m_started;
    base::BalancerId m_requester;
    std::uint32_t m_number = 0;
  };

  void AddSuspect(const StreamPacket& packet,
                  base::Duration silent_for,
                  base::TimePoint now);
  void SendRequest(base::TimePoint now,
                   std::span<const base::BalancerId> peers,
                   SilenceActions& actions);
  void ReplyToPeers(base::TimePoint now, SilenceActions& actions);
  void EvaluateOwnWatches(base::TimePoint now,
                          std::span<const base::BalancerId> peers,
                          SilenceActions& actions);
  // Ends the watch of the streams and adds what was seen here before.
  std::vector<StreamReport> EndWatch(WatchId id);
  static AggregatedReport AggregateReports(const OwnWatch& watch,
                                           const StreamReport& own,
                                           std::size_t stream);
  bool IsWorthAnotherWatch(const Suspect& suspect,
                           const AggregatedReport& total) const;
  void EvaluateWatch(const OwnWatch& watch,
                     base::TimePoint now,
                     SilenceActions& actions);
  WatchId NextId() { return WatchId(++m_last_id); }

  SilenceSettings m_settings;
  RetransmissionTable m_retransmissions;
  WatchTable m_watches;
  SilenceBudget m_budget;
  std::vector<Suspect> m_suspects;
  std::map<std::uint32_t, OwnWatch> m_own_watches;
  std::vector<PeerWatch> m_peer_watches;
  std::uint64_t m_last_id = 0;
  std::uint32_t m_last_number = 0;
  std::uint64_t m_suspicions = 0;
  base::TimePoint m_next_request;
  base::TimePoint m_last_advance;
};

}  // namespace flow

#endif  // LIBFLOW_SILENCE_DETECTOR_H_
