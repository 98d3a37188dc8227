#include "burn_collector.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace service {

using observability::CombinedBurn;

void BurnCollector::CollectDataCentre(const Answer& answer) {
  if (!Join(m_data_centre, answer))
    return;
  const std::vector<BurnPart> members = m_sources.m_members();
  GatherBurn(m_context, members,
             m_sources.m_make_request({peer::BurnScope::kBalancer}),
             kMemberDeadline, [this, members](const BurnParts& answers) {
               CombinedBurn sum = m_sources.m_own();
               for (std::size_t i = 0; i < members.size(); ++i) {
                 if (answers[i])
                   sum.Merge(*answers[i], "");
                 else
                   sum.AddMissing(members[i].m_name);
               }
               Finish(m_data_centre, std::move(sum));
             });
}

void BurnCollector::CollectAll(const Answer& answer) {
  if (!Join(m_all, answer))
    return;
  const auto halves = std::make_shared<AllHalves>();
  m_sources.m_data_centres([this, halves](std::vector<BurnPart> parts) {
    halves->m_parts = std::move(parts);
    AskDataCentres(halves);
  });
  CollectDataCentre([this, halves](const CombinedBurn& own) {
    halves->m_own = own;
    FinishAllIfWhole(*halves);
  });
}

void BurnCollector::AskDataCentres(const std::shared_ptr<AllHalves>& halves) {
  GatherBurn(m_context, halves->m_parts,
             m_sources.m_make_request({peer::BurnScope::kDataCentre}),
             kDeadline, [this, halves](const BurnParts& answers) {
               halves->m_answers = answers;
               FinishAllIfWhole(*halves);
             });
}

void BurnCollector::FinishAllIfWhole(const AllHalves& halves) {
  if (!halves.m_own || !halves.m_answers)
    return;
  CombinedBurn sum;
  sum.Merge(*halves.m_own, m_sources.m_data_centre);
  for (std::size_t i = 0; i < halves.m_parts.size(); ++i) {
    const auto& answer = (*halves.m_answers)[i];
    if (answer)
      sum.Merge(*answer, halves.m_parts[i].m_name);
    else
      sum.AddMissingDataCentre(halves.m_parts[i].m_name);
  }
  Finish(m_all, std::move(sum));
}

bool BurnCollector::Join(Sum& sum, const Answer& answer) {
  const bool is_fresh =
      sum.m_last && base::Clock::now() - sum.m_made_at < kLifetime;
  if (is_fresh) {
    answer(*sum.m_last);
    return false;
  }
  sum.m_last.reset();
  sum.m_waiting.push_back(answer);
  return sum.m_waiting.size() == 1;
}

void BurnCollector::Finish(Sum& sum, CombinedBurn result) {
  sum.m_last = std::move(result);
  sum.m_made_at = base::Clock::now();
  const CombinedBurn last = *sum.m_last;
  for (const Answer& answer : std::exchange(sum.m_waiting, {}))
    answer(last);
}

}  // namespace service
