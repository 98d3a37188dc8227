// Snapshots as bytes between balancers, in cereal's portable binary format
// after a four-byte mark with the format's version.

#ifndef LIBCATALOG_SNAPSHOT_CODEC_H_
#define LIBCATALOG_SNAPSHOT_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "LibBase/outcome.h"

namespace catalog {

struct Snapshot;

// The fleet that docs/CAPACITY.md plans for has 75,000 servers and 9,000
// routes, of some 100 bytes each.
inline constexpr std::size_t kMaximumServers = 100'000;
inline constexpr std::size_t kMaximumRoutes = 20'000;
inline constexpr std::size_t kMaximumServicesOfRoute = 32;
// Of a server, service, route or data centre, and of a health check's path.
// Longer than the names that DNS (253 bytes) and usual stores allow.
inline constexpr std::size_t kMaximumNameBytes = 1024;
// Of times in a snapshot, which are waits and time limits of requests.
inline constexpr std::chrono::hours kMaximumDuration{24};
inline constexpr std::size_t kMaximumSnapshotBytes = 16UL * 1024UL * 1024UL;

// Errors: std::errc::message_size if anything is over the bounds above.
base::Outcome<std::string> EncodeSnapshot(const Snapshot& snapshot);

// Errors: std::errc::bad_message for bytes that are not one whole snapshot of
// this version, message_size if they are over kMaximumSnapshotBytes.
base::Outcome<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace catalog

#endif  // LIBCATALOG_SNAPSHOT_CODEC_H_
