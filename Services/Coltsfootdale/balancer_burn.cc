// The burn reports of a balancer. Peers request the balancer's own report or
// the sum over its data centre; operators request the sum over all balancers.

#include <set>
#include <utility>

#include "LibObservability/burn_render.h"
#include "balancer_process.h"
#include "burn_messages.h"

namespace service {

static_assert(RemoteBalancers::kRefreshTimeout <= BurnCollector::kListTimeout);

void BalancerProcess::SetBurnDocument(const configuration::Document& document) {
  m_burn_tracker.SetDocument(document);
  std::set<base::DataCentreId> data_centres;
  for (const configuration::Service& service : document.m_services) {
    for (const configuration::BackendServer& server : service.m_backend_servers)
      data_centres.insert(server.m_data_centre);
  }
  data_centres.erase(m_settings.m_data_centre);
  m_remote_balancers.SetDataCentres(data_centres);
}

BurnCollector::Sources BalancerProcess::MakeBurnSources() {
  BurnCollector::Sources sources;
  sources.m_data_centre = m_settings.m_data_centre.value();
  sources.m_own_report = [this] {
    return m_burn_tracker.OwnReport(base::Clock::now());
  };
  sources.m_list_members = [this] { return BurnMemberTargets(); };
  sources.m_list_data_centres =
      [this](const BurnCollector::Sources::TargetsCallback& callback) {
        m_remote_balancers.Refresh(
            [this, callback] { callback(BurnDataCentreTargets()); });
      };
  sources.m_make_request = [this](const peer::BurnRequest& request) {
    return MakePeerMessage(request);
  };
  return sources;
}

bool BalancerProcess::IsReplaced(const peer::MemberRecord& dead) const {
  return dead.m_peer == m_membership->Self().m_peer ||
         m_membership->Peers().FindAt(dead.m_peer) != nullptr;
}

std::vector<BurnTarget> BalancerProcess::BurnMemberTargets() const {
  std::vector<BurnTarget> members;
  for (const auto& [id, entry] : m_membership->Peers().Entries()) {
    const peer::MemberRecord& record = entry.m_record;
    const bool is_dead = record.m_state == peer::MemberState::kDead;
    const bool is_leaving = record.m_state == peer::MemberState::kLeaving;
    if (is_dead && IsReplaced(record))
      continue;
    if (!is_leaving && !m_membership->IsExpected(entry))
      continue;
    BurnTarget target{record.m_name, {}};
    if (!is_dead)
      target.m_endpoints.push_back(record.m_peer);
    members.push_back(std::move(target));
  }
  return members;
}

std::vector<BurnTarget> BalancerProcess::BurnDataCentreTargets() {
  std::vector<BurnTarget> data_centres;
  for (const auto& [name, endpoints] : m_remote_balancers.endpoints()) {
    BurnTarget target{name.value(), endpoints};
    // Shuffles the endpoints, so that each report requests other balancers.
    for (std::size_t left = target.m_endpoints.size(); left > 1; --left)
      std::swap(target.m_endpoints[left - 1],
                target.m_endpoints[m_random.Below(left)]);
    data_centres.push_back(std::move(target));
  }
  return data_centres;
}

void BalancerProcess::HandleBurnRequest(
    const peer::BurnRequest& request,
    const PeerServer::ReplyCallback& callback) {
  const auto reply = [this,
                      callback](const observability::CombinedBurnReport& burn) {
    callback(MakePeerMessage(ToBurnReply(burn)));
  };
  switch (request.m_scope) {
    case peer::BurnScope::kBalancer:
      reply(m_burn_tracker.OwnReport(base::Clock::now()));
      return;
    case peer::BurnScope::kDataCentre:
      m_burn_collector.CollectDataCentre(reply);
      return;
  }
}

console::RenderedBurnReport BalancerProcess::RenderBurnReport(
    const observability::CombinedBurnReport& burn) const {
  const auto statuses = m_burn_tracker.BurnStatuses(burn.report());
  return {.m_coverage = observability::RenderCoverage(burn),
          .m_is_complete = burn.IsComplete(),
          .m_text = observability::RenderBurnText(statuses),
          .m_chart = observability::RenderBurnSvg(statuses)};
}

}  // namespace service
