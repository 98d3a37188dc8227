// The probes under way at a home: which servers have said that they do not
// have the flow. Only when all have said so is the flow known to be gone; a
// server that stays silent proves nothing.

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
  // The caller's latest packet, sent on to the next candidate as soon as one
  // has denied the flow: waiting for the caller to repeat it would cost an
  // exponentially growing timeout for each candidate.
  std::vector<std::uint8_t> m_packet;
  // Its CallerPacket::m_acknowledged; nothing before the first packet is sent.
  // A reset that does not repeat it answers something else, as a late packet
  // of an earlier flow with the same key, and denies nothing.
  std::optional<std::uint32_t> m_acknowledged;
  std::vector<base::BackendServerId> m_denials;
  // Whether the flow had ended as far as was known: that no server has it is
  // then no loss.
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
  // The probe of the flow, made if it is not there; null at the bound.
  PendingProbe* Insert(const FlowKey& key, base::TimePoint now);
  void Erase(const FlowKey& key) { m_probes.erase(key); }
  // Forgets the probes started before `deadline`.
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
