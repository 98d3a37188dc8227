// The load that one balancer reports to the reader of its data centre.

#ifndef LIBLOADEXCHANGE_LOAD_REPORT_H_
#define LIBLOADEXCHANGE_LOAD_REPORT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "LibBase/hash.h"

namespace load_exchange {

// Names are exchanged as hashes, because names of services and data centres can
// take 64 bytes each.
inline std::uint32_t KeyOf(std::string_view name) {
  return static_cast<std::uint32_t>(base::HashString(name));
}

struct ServiceLoad {
  std::uint32_t m_service = 0;
  std::uint32_t m_requests_in_progress = 0;
  std::uint32_t m_openings_per_second = 0;

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

// What flows show about a server: recent requests with and without an answer.
struct ServerEvidence {
  // The first flow token of the server.
  std::uint32_t m_token = 0;
  double m_unanswered = 0;
  double m_answered = 0;
  // The largest number of unanswered requests that one balancer reported. Zero
  // in a report.
  double m_largest_unanswered = 0;

  friend bool operator==(const ServerEvidence&,
                         const ServerEvidence&) = default;
};

struct LoadReport {
  // Increases with each report of a balancer.
  std::uint64_t m_sequence = 0;
  // The key of the balancer's data centre.
  std::uint32_t m_data_centre = 0;
  std::vector<ServiceLoad> m_services;
  std::vector<ServerEvidence> m_servers;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_LOAD_REPORT_H_
