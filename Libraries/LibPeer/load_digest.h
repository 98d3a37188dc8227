// The number of flows that the sender has open on each backend server. A server
// that the digest leaves out keeps its count from an earlier digest.

#ifndef LIBPEER_LOAD_DIGEST_H_
#define LIBPEER_LOAD_DIGEST_H_

#include <vector>

#include "LibPeer/load_entry.h"

namespace peer {

struct LoadDigest {
  // At most kMaximumLoadEntries.
  std::vector<LoadEntry> m_entries;

  friend bool operator==(const LoadDigest&, const LoadDigest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_LOAD_DIGEST_H_
