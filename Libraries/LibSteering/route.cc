#include "LibSteering/route.h"

#include "LibBase/hash.h"
#include "LibBase/verify.h"

namespace steering {

const std::string& Route::ServiceFor(std::uint64_t hash) const {
  VERIFY(!m_services.empty());
  std::uint64_t total = 0;
  for (const WeightedService& service : m_services)
    total += service.m_weight;
  std::uint64_t point = total == 0 ? 0 : base::MixBits(hash) % total;
  for (const WeightedService& service : m_services) {
    if (point < service.m_weight)
      return service.m_name;
    point -= service.m_weight;
  }
  return m_services.front().m_name;
}

}  // namespace steering
