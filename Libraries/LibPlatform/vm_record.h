// One VM in the platform's list of VMs, with the endpoints of the balancer that
// runs in the VM.

#ifndef LIBPLATFORM_VM_RECORD_H_
#define LIBPLATFORM_VM_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace platform {

enum class VmState { kLive, kLeaving };

inline constexpr base::EnumTable<VmState, 2> kVmStateNames{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}};

struct VmRecord {
  std::string m_name;
  base::DataCentreId m_data_centre;
  VmState m_state = VmState::kLive;
  base::Endpoint m_traffic;
  base::Endpoint m_peer;
  base::Endpoint m_admin;
};

// Parses lines of the form "NAME DATA_CENTRE STATE TRAFFIC PEER ADMIN". Returns
// nothing if any line is malformed: a VM missing from the list would be treated
// as removed.
std::optional<std::vector<VmRecord>> ParseVmRecords(std::string_view text);

}  // namespace platform

#endif  // LIBPLATFORM_VM_RECORD_H_
