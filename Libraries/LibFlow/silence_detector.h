// Detects silent flows: one end sends the same payload repeatedly and no
// balancer sees the other end acknowledge it. A balancer sees only a share of a
// flow's packets, so its own observations only make a stream suspect. The
// balancer then requests all others to watch the stream too and decides when
// each has replied. docs/DESIGN.md section 11 explains the rules.

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
  // A repeated packet that this balancer saw.
  StreamPacket m_repetition;
  // Bytes from the start of the repeated packet to the end of the newest
  // payload that any balancer saw.
  std::uint32_t m_extent_bytes = 0;
  // Time since new data of the end that repeats the packet last passed here.
  base::Duration m_silent_for{};
};

// A reply and the balancer that sent the request.
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
  // Streams that have become suspect since the start.
  std::uint64_t suspicion_count() const { return m_suspicions; }

  // Commands.
  // Records a packet. Must be called with each packet that came from the
  // fabric, not from a balancer, and that this balancer has forwarded.
  void Observe(const StreamPacket& packet, base::TimePoint now);
  // Starts the watch that a peer requests. Advance returns the reply.
  void HandleRequest(base::BalancerId from,
                     const WatchRequest& request,
                     base::TimePoint now);
  // Stores a peer's reply to a request of this balancer.
  void HandleReply(base::BalancerId from, const WatchReply& reply);
  // Must be called every 100 to 250 ms. `peers` are the other balancers to
  // which the fabric sends packets. After a gap of more than a second between
  // two calls, in which this process was paused, all watches are cancelled.
  SilenceActions Advance(base::TimePoint now,
                         std::span<const base::BalancerId> peers);
  // Cancels all watches and discards all suspects: the observations do not
  // count.
  void CancelWatches();

 private:
  // A stream that may be silent.
  struct Suspect {
    // The repeated packet.
    StreamPacket m_packet;
    // When new data of the stream last passed here.
    base::TimePoint m_silent_since;
    // When the stream became suspect or its last watch ended.
    base::TimePoint m_suspected_at;
    // Sum over the watches so far, none of which saw an answer.
    std::uint32_t m_watched_repetitions = 0;
    std::uint32_t m_watches = 0;
  };
  // A watch that this balancer requested from its peers.
  struct OwnWatch {
    WatchId m_id;
    base::TimePoint m_started;
    std::vector<Suspect> m_suspects;
    std::vector<base::BalancerId> m_requested_peers;
    std::map<base::BalancerId, WatchReply> m_replies;

    bool HasRepliesFromAll(std::span<const base::BalancerId> peers) const;
  };
  // The reports of all balancers about one stream: sums of the counts, and the
  // greatest extent.
  struct AggregatedReport {
    bool m_is_answered = false;
    std::uint32_t m_repetitions = 0;
    std::uint32_t m_observations = 0;
    std::uint32_t m_extent_bytes = 0;
  };
  // A watch that a peer requested.
  struct PeerWatch {
    WatchId m_id;
    base::TimePoint m_started;
    base::BalancerId m_requester;
    // The number of the peer's request.
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
  // Ends a watch and returns its reports, completed with the observations of
  // this balancer before the watch.
  std::vector<StreamReport> EndWatch(WatchId id);
  static AggregatedReport AggregateReports(const OwnWatch& watch,
                                           const StreamReport& own,
                                           std::size_t stream);
  // Whether to watch a stream again that is neither answered nor yet known to
  // be silent.
  bool IsWorthAnotherWatch(const Suspect& suspect,
                           const AggregatedReport& total) const;
  void EvaluateWatch(const OwnWatch& watch,
                     base::TimePoint now,
                     SilenceActions& actions);
  // Makes the streams of a watch that lacks replies suspect again, except those
  // that were answered.
  void RepeatWatch(const OwnWatch& watch, base::TimePoint now);
  WatchId NextId() { return WatchId(++m_last_id); }

  SilenceSettings m_settings;
  RetransmissionTable m_retransmissions;
  WatchTable m_watches;
  SilenceBudget m_budget;
  std::vector<Suspect> m_suspects;
  // Keyed by the number of the request.
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
