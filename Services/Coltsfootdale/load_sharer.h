// Shares the numbers of open flows with the other balancers of the data
// centre, so that each can estimate how busy a server is between its reports.

#ifndef SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_
#define SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibMembership/load_publisher.h"
#include "LibMembership/shared_load.h"
#include "LibPeer/load_digest.h"
#include "LibPlacement/load_event.h"

namespace service {

class LoadSharer {
 public:
  using OpenFlows =
      std::map<base::ServiceId, std::vector<placement::OpenCount>>;

  explicit LoadSharer(base::TimePoint now) : m_publisher(now) {}

  // Queries.
  // For each service of `own`, what the other balancers have open.
  OpenFlows Elsewhere(const OpenFlows& own) const;

  // Commands.
  void SetOwn(const OpenFlows& own);
  void Receive(base::BalancerId member, const peer::LoadDigest& digest);
  void Retain(const membership::MemberSnapshot& live);
  // Bytes of other messages that the digests make room for.
  void Charge(std::uint64_t bytes) {
    m_publisher.Charge(static_cast<double>(bytes));
  }
  // The digest to send to each of `recipients` members, if one is due.
  std::optional<peer::LoadDigest> Next(std::size_t recipients,
                                       base::TimePoint now);

 private:
  membership::LoadPublisher m_publisher;
  membership::SharedLoad m_shared;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LOAD_SHARER_H_
