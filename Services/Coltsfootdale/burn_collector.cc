#include "burn_collector.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace service {

using observability::CombinedBurnReport;

void BurnCollector::CollectDataCentre(const Callback& callback) {
  if (!AddWaiting(m_data_centre, callback))
    return;
  const std::vector<BurnTarget> members = m_sources.m_list_members();
  RequestBurnReports(m_context, members,
                     m_sources.m_make_request({peer::BurnScope::kBalancer}),
                     kMemberTimeout,
                     [this, members](const BurnResponses& responses) {
                       CombinedBurnReport sum = m_sources.m_own_report();
                       for (std::size_t i = 0; i < members.size(); ++i) {
                         if (responses[i])
                           sum.Merge(*responses[i], "");
                         else
                           sum.AddMissingBalancer(members[i].m_name);
                       }
                       Finish(m_data_centre, std::move(sum));
                     });
}

void BurnCollector::CollectTotal(const Callback& callback) {
  if (!AddWaiting(m_total, callback))
    return;
  const auto inputs = std::make_shared<TotalSumInputs>();
  m_sources.m_list_data_centres(
      [this, inputs](std::vector<BurnTarget> targets) {
        inputs->m_targets = std::move(targets);
        RequestDataCentres(inputs);
      });
  CollectDataCentre([this, inputs](const CombinedBurnReport& own_report) {
    inputs->m_own_report = own_report;
    FinishTotalIfComplete(*inputs);
  });
}

void BurnCollector::RequestDataCentres(
    const std::shared_ptr<TotalSumInputs>& inputs) {
  RequestBurnReports(m_context, inputs->m_targets,
                     m_sources.m_make_request({peer::BurnScope::kDataCentre}),
                     kDataCentreTimeout,
                     [this, inputs](const BurnResponses& responses) {
                       inputs->m_responses = responses;
                       FinishTotalIfComplete(*inputs);
                     });
}

void BurnCollector::FinishTotalIfComplete(const TotalSumInputs& inputs) {
  if (!inputs.m_own_report || !inputs.m_responses)
    return;
  CombinedBurnReport sum;
  sum.Merge(*inputs.m_own_report, m_sources.m_data_centre);
  for (std::size_t i = 0; i < inputs.m_targets.size(); ++i) {
    const auto& report = (*inputs.m_responses)[i];
    if (report)
      sum.Merge(*report, inputs.m_targets[i].m_name);
    else
      sum.AddMissingDataCentre(inputs.m_targets[i].m_name);
  }
  Finish(m_total, std::move(sum));
}

bool BurnCollector::AddWaiting(PendingSum& sum, const Callback& callback) {
  const bool is_fresh =
      sum.m_last && base::Clock::now() - sum.m_calculated_at < kCacheLifetime;
  if (is_fresh) {
    callback(*sum.m_last);
    return false;
  }
  sum.m_last.reset();
  sum.m_waiting.push_back(callback);
  return sum.m_waiting.size() == 1;
}

void BurnCollector::Finish(PendingSum& sum, CombinedBurnReport result) {
  sum.m_last = std::move(result);
  sum.m_calculated_at = base::Clock::now();
  const CombinedBurnReport last = *sum.m_last;
  for (const Callback& callback : std::exchange(sum.m_waiting, {}))
    callback(last);
}

}  // namespace service
