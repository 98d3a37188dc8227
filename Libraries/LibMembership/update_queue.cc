#include "LibMembership/update_queue.h"

#include <algorithm>

namespace membership {

std::vector<base::BalancerId> UpdateQueue::Next(std::size_t count) const {
  std::vector<base::BalancerId> next;
  for (const Update& update : m_updates) {
    if (next.size() == count)
      break;
    next.push_back(update.m_id);
  }
  return next;
}

void UpdateQueue::Add(base::BalancerId id) {
  std::erase_if(m_updates,
                [&](const Update& update) { return update.m_id == id; });
  m_updates.insert(m_updates.begin(), Update{id, 0});
}

void UpdateQueue::CountSent(base::BalancerId id, std::size_t limit) {
  const auto found =
      std::find_if(m_updates.begin(), m_updates.end(),
                   [&](const Update& update) { return update.m_id == id; });
  if (found == m_updates.end())
    return;
  const Update sent{id, found->m_times_sent + 1};
  m_updates.erase(found);
  if (sent.m_times_sent >= limit)
    return;
  const auto place =
      std::upper_bound(m_updates.begin(), m_updates.end(), sent,
                       [](const Update& first, const Update& second) {
                         return first.m_times_sent < second.m_times_sent;
                       });
  m_updates.insert(place, sent);
}

}  // namespace membership
