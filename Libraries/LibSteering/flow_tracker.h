// The flows that a balancer has seen of late, and their load on the servers.

#ifndef LIBSTEERING_FLOW_TRACKER_H_
#define LIBSTEERING_FLOW_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/flow_record.h"
#include "LibSteering/server_directory.h"

namespace steering {

// What a packet of an open flow shows.
enum class PacketKind {
  // The caller has sent something new.
  kRequest,
  // The caller has got something new from the server.
  kAnswer,
  // The caller repeats what it has sent.
  kRetransmission,
  kNothingNew,
  kEnd,
};

inline constexpr base::EnumTable<PacketKind, 5> kPacketKindNames{{
    {PacketKind::kRequest, "request"},
    {PacketKind::kAnswer, "answer"},
    {PacketKind::kRetransmission, "repeat"},
    {PacketKind::kNothingNew, "nothing_new"},
    {PacketKind::kEnd, "end"},
}};

struct Observation {
  PacketKind m_packet_kind = PacketKind::kNothingNew;
  // Since when the caller had waited when the packet came.
  base::TimePoint m_waiting_since;
};

// A request without an answer for so long that its server may have lost it.
struct OverdueRequest {
  flow::FlowKey m_flow;
  ServerHandle m_server;
  base::Duration m_waited{};
};

class FlowTracker {
 public:
  // Flows beyond this number are steered without a record: 96 bytes each, so
  // 6 MB at most.
  static constexpr std::size_t kMaximumFlows = 65'536;
  // A flow without a packet for this long is no load: callers of long flows
  // pause about a second between requests.
  static constexpr base::Duration kInactiveAfter = std::chrono::seconds(3);
  // A request is overdue after so many times the mean time to an answer: the
  // slowest hundredth of answers take about four times the mean.
  static constexpr int kOverdueFactor = 6;
  // But not before its caller has had the time to repeat it, after 200 ms, and
  // the repetition to be answered.
  static constexpr base::Duration kMinimumOverdueTime =
      std::chrono::milliseconds(400);
  // The share of a new answer in the mean time to an answer: some ten answers
  // follow a sudden load, a fraction of a second on a busy VM.
  static constexpr double kAnswerTimeGain = 0.1;

  struct FlowHash {
    std::size_t operator()(const flow::FlowKey& key) const noexcept {
      return flow::HashFlow(key);
    }
  };
  using Flows = std::unordered_map<flow::FlowKey, FlowRecord, FlowHash>;

  explicit FlowTracker(ServerDirectory& directory) : m_directory(directory) {}

  // Queries.
  std::size_t size() const { return m_flows.size(); }
  const Flows& flows() const { return m_flows; }
  // From when on a request without an answer is overdue.
  base::Duration OverdueAfter() const;

  // Commands.
  FlowRecord* Find(const flow::FlowKey& key);
  // Notes an opening that goes to `server`; null if the table is full.
  FlowRecord* RecordOpening(const flow::FlowKey& key,
                            KnownServer& server,
                            base::Duration timeout,
                            base::TimePoint now);
  // Notes a packet of an open flow of `server`, also of a flow that was opened
  // by another balancer.
  Observation RecordPacket(const CallerPacket& packet,
                           KnownServer& server,
                           base::Duration timeout,
                           base::TimePoint now);
  // Moves an opening to another server.
  void Reassign(FlowRecord& record, KnownServer& server);
  void RemoveFlow(const flow::FlowKey& key);
  // Stops counting flows at rest and requests that are overdue, and forgets
  // flows idle for `idle_timeout`. Returns the requests that speak against
  // their servers.
  std::vector<OverdueRequest> Sweep(base::Duration idle_timeout,
                                    base::TimePoint now);

 private:
  FlowRecord* Insert(const flow::FlowKey& key,
                     KnownServer& server,
                     base::TimePoint now);
  static PacketKind KindOf(const CallerPacket& packet,
                           bool has_answer,
                           bool has_new_data);
  // Whether the caller has got something new from the server.
  static bool RecordAcknowledgement(FlowRecord& record,
                                    const CallerPacket& packet);
  // Whether the caller has sent something new.
  static bool RecordData(FlowRecord& record, const CallerPacket& packet);
  // `server` is the record's.
  void RecordAnswer(FlowRecord& record,
                    KnownServer& server,
                    base::TimePoint now);
  // Whether the request of `record`, given up here, was in the hands of its
  // server all the while as far as this balancer can tell.
  bool CountsAgainstServer(const FlowRecord& record) const;
  void StartRequest(FlowRecord& record,
                    base::Duration timeout,
                    base::TimePoint now);
  void SetActive(FlowRecord& record, bool is_active);
  void SetInProgress(FlowRecord& record, bool is_in_progress);

  ServerDirectory& m_directory;
  Flows m_flows;
  // The mean time from a request to the first sign of its answer.
  base::Duration m_mean_answer_time = std::chrono::milliseconds(100);
  // When a flow that another balancer had carried came here last. Flows come
  // and go together when the routers deal them anew.
  std::optional<base::TimePoint> m_last_adoption_at;
};

}  // namespace steering

#endif  // LIBSTEERING_FLOW_TRACKER_H_
