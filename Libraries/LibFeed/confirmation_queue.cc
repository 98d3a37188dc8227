#include "LibFeed/confirmation_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "LibFeed/store_status.h"

namespace feed {

namespace {

bool IsSatisfied(const ReceivedRequest& request,
                 const StoreStatus& own,
                 base::TimePoint now) {
  const auto needed = request.NeededAsOf();
  return !needed || (own.m_view_age && now - *own.m_view_age >= *needed);
}

}  // namespace

bool ConfirmationQueue::ShouldWait(const ReceivedRequest& request,
                                   const StoreStatus& own,
                                   base::TimePoint now) const {
  return own.m_is_current && !IsSatisfied(request, own, now) &&
         m_requests.size() < kMaximumRequests;
}

std::optional<base::TimePoint> ConfirmationQueue::NeededAsOf() const {
  std::optional<base::TimePoint> needed;
  for (const ReceivedRequest& request : m_requests)
    needed = std::max(needed, request.NeededAsOf());
  return needed;
}

std::optional<base::TimePoint> ConfirmationQueue::NextDeadline() const {
  if (m_requests.empty())
    return std::nullopt;
  return m_requests.front().m_received_at + kMaximumWait;
}

void ConfirmationQueue::Add(ReceivedRequest request) {
  m_requests.push_back(std::move(request));
}

std::vector<ReceivedRequest> ConfirmationQueue::PopDue(const StoreStatus& own,
                                                       base::TimePoint now) {
  // Moves the requests that go on waiting to the front.
  const auto first_due = std::stable_partition(
      m_requests.begin(), m_requests.end(),
      [&](const ReceivedRequest& request) {
        return own.m_is_current && !IsSatisfied(request, own, now) &&
               now - request.m_received_at < kMaximumWait;
      });
  std::vector<ReceivedRequest> due(std::make_move_iterator(first_due),
                                   std::make_move_iterator(m_requests.end()));
  m_requests.erase(first_due, m_requests.end());
  return due;
}

}  // namespace feed
