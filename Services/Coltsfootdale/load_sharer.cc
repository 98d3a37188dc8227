#include "load_sharer.h"

namespace service {

LoadSharer::OpenFlows LoadSharer::Elsewhere(const OpenFlows& own) const {
  OpenFlows elsewhere;
  for (const auto& [service, counts] : own) {
    std::vector<placement::OpenCount>& others = elsewhere[service];
    for (const placement::OpenCount& count : counts)
      others.push_back(
          {count.m_server, static_cast<std::int32_t>(
                               m_shared.OpenFlowsElsewhere(count.m_server))});
  }
  return elsewhere;
}

void LoadSharer::SetOwn(const OpenFlows& own) {
  for (const auto& [service, counts] : own) {
    for (const placement::OpenCount& count : counts)
      m_publisher.SetOpenFlows(count.m_server,
                               static_cast<std::uint64_t>(count.m_open_flows));
  }
}

void LoadSharer::Receive(base::BalancerId member,
                         const peer::LoadDigest& digest) {
  m_shared.Receive(member, digest);
}

void LoadSharer::Retain(const membership::MemberSnapshot& live) {
  m_shared.Retain(live);
}

std::optional<peer::LoadDigest> LoadSharer::Next(std::size_t recipients,
                                                 base::TimePoint now) {
  return m_publisher.Next(recipients, now);
}

}  // namespace service
