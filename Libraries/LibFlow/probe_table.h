// The probes in progress at a home and the servers that have denied the flow. A
// flow is known to be gone only when all servers have denied it; a server that
// does not answer proves nothing.

#ifndef LIBFLOW_PROBE_TABLE_H_
#define LIBFLOW_PROBE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibFlow/service_routing.h"

namespace flow {

struct PendingProbe {
  base::TimePoint m_started;
  // The caller's latest packet. When a candidate denies the flow, the packet is
  // sent to the next candidate at once: waiting for the caller to repeat it
  // would cost an exponentially growing timeout for each candidate.
  std::vector<std::uint8_t> m_packet;
  // CallerPacket::m_acknowledged of the latest packet; unset before the first
  // packet is sent. A reset that does not repeat this number answers another
  // packet, such as a late one of an earlier flow with the same key, and is no
  // denial.
  std::optional<std::uint32_t> m_acknowledged;
  std::vector<base::BackendServerId> m_denials;
  // Whether the flow had ended according to its entry. A flow that had ended
  // and that no server has is not broken.
  bool m_had_flow_ended = false;

  bool HasDenied(base::BackendServerId server) const;
  void AddDenial(base::BackendServerId server);
};

class ProbeTable {
 public:
  explicit ProbeTable(std::size_t maximum_probes)
      : m_maximum_probes(maximum_probes) {}

  std::size_t size() const { return m_probes.size(); }

  PendingProbe* Find(const FlowKey& key);
  // The probe of the flow, inserted if absent; null at the limit of probes.
  PendingProbe* Insert(const FlowKey& key, base::TimePoint now);
  void Erase(const FlowKey& key) { m_probes.erase(key); }
  // Removes the probes started before `deadline`.
  void RemoveStartedBefore(base::TimePoint deadline);

 private:
  struct KeyHash {
    std::size_t operator()(const FlowKey& key) const { return HashFlow(key); }
  };

  std::size_t m_maximum_probes;
  std::unordered_map<FlowKey, PendingProbe, KeyHash> m_probes;
};

}  // namespace flow

#endif  // LIBFLOW_PROBE_TABLE_H_
