// Encodes the datagrams of the feed: a magic of four bytes with the version of
// the format and the type of the message, then cereal's portable binary format.

#ifndef LIBFEED_FEED_CODEC_H_
#define LIBFEED_FEED_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "LibBase/outcome.h"
#include "LibFeed/feed_request.h"
#include "LibFeed/feed_response.h"

namespace feed {

// An Ethernet path does not fragment a datagram of this size.
inline constexpr std::size_t kMaximumDatagramBytes = 1400;
// The space that remains for FeedResponse::m_delta in every datagram.
inline constexpr std::size_t kMaximumInlineDeltaBytes = 784;
// Longer names of data centres are not supported by the feed.
inline constexpr std::size_t kMaximumNameBytes = 64;

using FeedMessage = std::variant<FeedRequest, FeedResponse>;

// Errors: std::errc::message_size if a part exceeds its bound, or the message
// does not fit into a datagram.
base::Outcome<std::string> EncodeMessage(const FeedMessage& message);

// Errors: std::errc::bad_message if `bytes` is not one complete message of this
// version.
base::Outcome<FeedMessage> DecodeMessage(std::string_view bytes);

}  // namespace feed

#endif  // LIBFEED_FEED_CODEC_H_
