#include "StandIns/load_history.h"

namespace stand_ins {

LoadReport LoadHistory::ReportAt(base::TimePoint now) const {
  for (auto entry = m_reports.rbegin(); entry != m_reports.rend(); ++entry) {
    if (entry->first <= now - m_lag)
      return entry->second;
  }
  return m_reports.empty() ? LoadReport{} : m_reports.front().second;
}

void LoadHistory::Add(const LoadReport& report, base::TimePoint now) {
  if (!m_reports.empty() && m_reports.back().second == report)
    return;
  m_reports.emplace_back(now, report);
  while (m_reports.size() > 1 && m_reports[1].first <= now - m_lag)
    m_reports.pop_front();
}

}  // namespace stand_ins
