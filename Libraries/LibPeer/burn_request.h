// Requests the counts of the service-level burn report. Sent by stream only.

#ifndef LIBPEER_BURN_REQUEST_H_
#define LIBPEER_BURN_REQUEST_H_

#include <cstdint>

namespace peer {

// Which balancers to count.
enum class BurnScope : std::uint8_t {
  kBalancer,
  // The sum over the balancers of the receiver's data centre.
  kDataCentre,
};

struct BurnRequest {
  BurnScope m_scope = BurnScope::kBalancer;

  friend bool operator==(const BurnRequest&, const BurnRequest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_BURN_REQUEST_H_
