// Limits on the messages of a peer. The decoder checks each limit before it
// allocates.

#ifndef LIBPEER_LIMITS_H_
#define LIBPEER_LIMITS_H_

#include <cstddef>

namespace peer {

// An Ethernet path does not fragment a datagram of this size.
inline constexpr std::size_t kMaximumDatagramBytes = 1'200;
inline constexpr std::size_t kMaximumDocumentBytes = 1'048'576;
// A document with its frame and the other fields of its message.
inline constexpr std::size_t kMaximumFrameBytes = kMaximumDocumentBytes + 4'096;
inline constexpr std::size_t kMaximumNameBytes = 64;
// Member records in a message.
inline constexpr std::size_t kMaximumUpdates = 12;
// Servers in a LoadDigest.
inline constexpr std::size_t kMaximumLoadEntries = 150;
// Services in a BurnReply, and counts of each service.
inline constexpr std::size_t kMaximumBurnServices = 256;
inline constexpr std::size_t kMaximumBurnCounts = 64;
// Names of balancers that are missing in a BurnReply.
inline constexpr std::size_t kMaximumMissingBalancers = 64;
// Streams in a FlowWatchRequest or FlowWatchReply.
inline constexpr std::size_t kMaximumWatchedStreams = 60;

}  // namespace peer

#endif  // LIBPEER_LIMITS_H_
