// Tracks the flows whose packets a balancer received recently, and counts their
// load on the servers.

#ifndef LIBSTEERING_FLOW_TRACKER_H_
#define LIBSTEERING_FLOW_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibAdmission/overload_detector.h"
#include "LibBase/enum_table.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/flow_record.h"
#include "LibSteering/server_directory.h"

namespace steering {

// What a packet of an established flow shows about the flow.
enum class PacketKind {
  // The packet carries new data of the caller.
  kRequest,
  // The packet acknowledges new data of the server.
  kAnswer,
  // The packet carries only data that the caller has sent before.
  kRetransmission,
  // The packet shows nothing new and is not a retransmission, for example
  // because it is only reordered.
  kNothingNew,
  // The packet closes or resets the flow.
  kEnd,
};

inline constexpr base::EnumTable<PacketKind, 5> kPacketKindNames{{
    {PacketKind::kRequest, "request"},
    {PacketKind::kAnswer, "answer"},
    {PacketKind::kRetransmission, "repeat"},
    {PacketKind::kNothingNew, "nothing_new"},
    {PacketKind::kEnd, "end"},
}};

// The result of recording a packet of an established flow.
struct Observation {
  PacketKind m_packet_kind = PacketKind::kNothingNew;
  // When the caller sent the request that it waited for when the packet
  // arrived; the time of the packet if no record existed.
  base::TimePoint m_waiting_since;
  // Set if the packet acknowledges an opening that this balancer placed: the
  // time since the opening was first sent to a server.
  std::optional<base::Duration> m_opening_time;
  // The same, set only if the opening was sent to one server.
  std::optional<base::Duration> m_handshake_time;
  // Set if the packet acknowledges the first bytes of the answer to a request.
  std::optional<admission::AnswerSample> m_answer;
};

// A request that has been unanswered for so long that its server may have lost
// it. `m_waited` is the time since the caller sent its newest data.
struct OverdueRequest {
  flow::FlowKey m_flow;
  ServerHandle m_server;
  base::Duration m_waited{};
};

class FlowTracker {
 public:
  // Flows beyond this number are steered without a record. A record takes
  // 120 bytes, so all records take 8 MB at most.
  static constexpr std::size_t kMaximumFlows = 65'536;
  // A flow without a packet for this long does not count as load. Callers of
  // long flows pause for about a second between requests.
  static constexpr base::Duration kInactiveAfter = std::chrono::seconds(3);
  // A request is overdue after this many times the mean time to an answer. The
  // slowest 1% of answers take about four times the mean.
  static constexpr int kOverdueFactor = 6;
  // The lower bound on the time after which a request is overdue. It leaves
  // time for the caller's retransmission after 200 ms and for the answer to the
  // retransmission.
  static constexpr base::Duration kMinimumOverdueTime =
      std::chrono::milliseconds(400);
  // The weight of a new answer in the moving average of the time to an answer.
  // The average follows a change of load within some ten answers, which is a
  // fraction of a second on a busy VM.
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
  // How long a request may be unanswered before it is overdue.
  base::Duration OverdueAfter() const;

  // Commands.
  // Null if the flow has no record.
  FlowRecord* Find(const flow::FlowKey& key);
  // Adds a record for an opening that is sent to `server`, and removes an older
  // record of the flow. The caller waits for an answer for `timeout`. Null if
  // the table is full.
  FlowRecord* RecordOpening(const flow::FlowKey& key,
                            KnownServer& server,
                            base::Duration timeout,
                            base::TimePoint now);
  // Updates the record of an established flow of `server` with a packet. Adds a
  // record if the packet carries data and the flow has none, as when another
  // balancer handled the opening. Removes the record if the packet closes or
  // resets the flow. The caller waits for an answer for `timeout`.
  Observation RecordPacket(const CallerPacket& packet,
                           KnownServer& server,
                           base::Duration timeout,
                           base::TimePoint now);
  // Moves a flow and its load to another server.
  void Reassign(FlowRecord& record, KnownServer& server);
  void RemoveFlow(const flow::FlowKey& key);
  // Stops counting the load of inactive flows and of overdue requests, and
  // removes flows that were idle for `idle_timeout`. Returns the overdue
  // requests that count as unanswered by their servers.
  std::vector<OverdueRequest> Sweep(base::Duration idle_timeout,
                                    base::TimePoint now);

 private:
  // Null if the table is full.
  FlowRecord* Insert(const flow::FlowKey& key,
                     KnownServer& server,
                     base::TimePoint now);
  static PacketKind KindOf(const CallerPacket& packet,
                           bool has_answer,
                           bool has_new_data);
  // Records the acknowledgement number. Returns whether the packet acknowledges
  // new data of the server or the answer to the opening.
  static bool RecordAcknowledgement(FlowRecord& record,
                                    const CallerPacket& packet);
  // Records the end of the packet's data. Returns whether the data is new.
  static bool RecordData(FlowRecord& record, const CallerPacket& packet);
  // Adds to `observation` what `packet`, which ends the request or opening in
  // progress of `record`, shows about the time to the answer.
  static void RecordSample(const FlowRecord& record,
                           bool was_established,
                           std::optional<std::uint32_t> acknowledged_before,
                           Observation& observation,
                           base::TimePoint now);
  // Ends the request or opening in progress and updates the statistics of
  // `server`, which is the server of `record`.
  void RecordAnswer(FlowRecord& record,
                    KnownServer& server,
                    base::TimePoint now);
  // Whether the overdue request of `record` counts as unanswered by its server:
  // the flow is established, and no flow of another balancer arrived here after
  // the request. After such an arrival, the answer may have been acknowledged
  // through another balancer.
  bool CountsAgainstServer(const FlowRecord& record) const;
  // Starts a request with new data, or continues the request in progress.
  void StartRequest(FlowRecord& record,
                    base::Duration timeout,
                    base::TimePoint now);
  // These two also update the counts of the record's server.
  void SetActive(FlowRecord& record, bool is_active);
  void SetInProgress(FlowRecord& record, bool is_in_progress);

  ServerDirectory& m_directory;
  Flows m_flows;
  // The moving average of the time from a request, sent whole, to the first
  // acknowledgement of its answer.
  base::Duration m_mean_answer_time = std::chrono::milliseconds(100);
  // The last time at which a flow that another balancer had handled arrived
  // here. When the routers redistribute flows, flows arrive here and leave for
  // other balancers at about the same time.
  std::optional<base::TimePoint> m_last_adoption_at;
};

}  // namespace steering

#endif  // LIBSTEERING_FLOW_TRACKER_H_
