// Encodes the snapshots and deltas that balancers exchange: a four-byte magic
// with the version of the format, then cereal's portable binary format.

#ifndef LIBCATALOG_SNAPSHOT_CODEC_H_
#define LIBCATALOG_SNAPSHOT_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "LibBase/outcome.h"

namespace catalog {

struct Snapshot;
struct ViewDelta;

// docs/CAPACITY.md plans for a fleet of 75,000 servers and 9,000 routes, of
// about 100 bytes each.
inline constexpr std::size_t kMaximumServers = 100'000;
inline constexpr std::size_t kMaximumRoutes = 20'000;
inline constexpr std::size_t kMaximumServicesOfRoute = 32;
// Far more than a fleet has data centres.
inline constexpr std::size_t kMaximumEvacuations = 1024;
// The longest name of a server, service, route or data centre, and the longest
// path of a health check. Longer than the names that DNS (253 bytes) and common
// stores allow.
inline constexpr std::size_t kMaximumNameBytes = 1024;
// The longest duration in a snapshot: a warm-up time or a timeout.
inline constexpr std::chrono::hours kMaximumDuration{24};
// The greatest rate of requests that a cold server bears.
inline constexpr double kMaximumRequestsPerSecond = 1'000'000;
inline constexpr std::size_t kMaximumSnapshotBytes = 16UL * 1024UL * 1024UL;

// Errors: std::errc::message_size if a part of `snapshot` exceeds a bound
// above.
base::Outcome<std::string> EncodeSnapshot(const Snapshot& snapshot);

// Errors: std::errc::bad_message if `bytes` is not one complete snapshot of
// this version, message_size if `bytes` is longer than kMaximumSnapshotBytes.
base::Outcome<Snapshot> DecodeSnapshot(std::string_view bytes);

// The same for a delta, which has a magic of its own.
base::Outcome<std::string> EncodeDelta(const ViewDelta& delta);
base::Outcome<ViewDelta> DecodeDelta(std::string_view bytes);

}  // namespace catalog

#endif  // LIBCATALOG_SNAPSHOT_CODEC_H_
