// The openings that a home has sent to a server and may have to resend to
// another.

#ifndef LIBFLOW_OPENING_TABLE_H_
#define LIBFLOW_OPENING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"

namespace flow {

// Maximum number of servers to which one opening is sent.
inline constexpr std::size_t kMaximumAttempts = 4;

struct PendingOpening {
  base::TimePoint m_first_sent;
  base::TimePoint m_last_sent;
  // Where the server's byte stream starts; set when the server accepts.
  std::optional<std::uint32_t> m_answer_start;
  boost::container::static_vector<base::BackendServerId, kMaximumAttempts>
      m_tried;
  // The opening as the caller sent it; empty if it was too long to store.
  std::vector<std::uint8_t> m_bytes;

  bool WasTried(base::BackendServerId server) const;
};

class OpeningTable {
 public:
  explicit OpeningTable(std::size_t maximum_openings)
      : m_maximum_openings(maximum_openings) {}

  std::size_t size() const { return m_openings.size(); }

  PendingOpening* Find(const FlowKey& key);
  // Null at the limit of openings; the opening then cannot be resent.
  PendingOpening* Insert(const FlowKey& key,
                         std::span<const std::uint8_t> bytes,
                         base::TimePoint now);
  void Erase(const FlowKey& key);
  // Removes the openings first sent before `deadline`.
  void RemoveStartedBefore(base::TimePoint deadline);

 private:
  struct KeyHash {
    std::size_t operator()(const FlowKey& key) const { return HashFlow(key); }
  };

  std::size_t m_maximum_openings;
  std::unordered_map<FlowKey, PendingOpening, KeyHash> m_openings;
};

}  // namespace flow

#endif  // LIBFLOW_OPENING_TABLE_H_
