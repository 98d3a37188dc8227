// One VM in the platform's list. The list lags, so it shows only which
// endpoints to contact, not which balancers are live.

#ifndef LIBMEMBERSHIP_VM_ENTRY_H_
#define LIBMEMBERSHIP_VM_ENTRY_H_

#include <string>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibMembership/vm_state.h"

namespace membership {

struct VmEntry {
  std::string m_name;
  base::DataCentreId m_data_centre;
  VmState m_state = VmState::kLive;
  base::Endpoint m_traffic;
  base::Endpoint m_peer;
  base::Endpoint m_admin;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_VM_ENTRY_H_
