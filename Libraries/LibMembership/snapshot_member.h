// The id and traffic endpoint of a live member, for the packet path.

#ifndef LIBMEMBERSHIP_SNAPSHOT_MEMBER_H_
#define LIBMEMBERSHIP_SNAPSHOT_MEMBER_H_

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace membership {

struct SnapshotMember {
  base::BalancerId m_id;
  base::Endpoint m_traffic;

  friend constexpr auto operator<=>(const SnapshotMember&,
                                    const SnapshotMember&) = default;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_SNAPSHOT_MEMBER_H_
