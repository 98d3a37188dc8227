#include "flow_watch_mapping.h"

#include "LibPeer/limits.h"

namespace service {

namespace {

static_assert(flow::kMaximumWatchedStreams == peer::kMaximumWatchedStreams);

// The bit of peer::StreamReport::m_repetitions that is set if the stream was
// answered.
constexpr std::uint8_t kAnsweredBit = 0x80;

}  // namespace

peer::FlowWatchRequest ToPeerWatchRequest(const flow::WatchRequest& request) {
  peer::FlowWatchRequest watch{request.m_number, {}};
  for (const flow::WatchedStream& stream : request.m_streams)
    watch.m_streams.push_back({stream.m_flow_hash, stream.m_position,
                               static_cast<std::uint8_t>(stream.m_sender)});
  return watch;
}

peer::FlowWatchReply ToPeerWatchReply(const flow::WatchReply& reply) {
  peer::FlowWatchReply message{reply.m_number, {}};
  for (const flow::StreamReport& report : reply.m_reports) {
    const std::uint8_t answered = report.m_is_answered ? kAnsweredBit : 0;
    const auto repetitions =
        static_cast<std::uint8_t>(report.m_repetitions | answered);
    message.m_reports.push_back(
        {repetitions, report.m_observations, report.m_extent_bytes});
  }
  return message;
}

flow::WatchRequest FromPeerWatchRequest(const peer::FlowWatchRequest& watch) {
  flow::WatchRequest request{watch.m_number, {}};
  for (const peer::WatchedStream& stream : watch.m_streams) {
    const bool is_caller =
        stream.m_sender == static_cast<std::uint8_t>(flow::StreamEnd::kCaller);
    request.m_streams.push_back(
        {stream.m_flow_hash, stream.m_position,
         is_caller ? flow::StreamEnd::kCaller : flow::StreamEnd::kServer});
  }
  return request;
}

flow::WatchReply FromPeerWatchReply(const peer::FlowWatchReply& reply) {
  flow::WatchReply mapped{reply.m_number, {}};
  for (const peer::StreamReport& report : reply.m_reports) {
    const bool is_answered = (report.m_repetitions & kAnsweredBit) != 0;
    const auto repetitions =
        static_cast<std::uint8_t>(report.m_repetitions & ~kAnsweredBit);
    mapped.m_reports.push_back({is_answered, repetitions, report.m_observations,
                                report.m_extent_bytes});
  }
  return mapped;
}

}  // namespace service
