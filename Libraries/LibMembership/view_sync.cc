#include "LibMembership/view_sync.h"

namespace membership {

std::optional<ViewSync::Request> ViewSync::DueRequest(
    base::TimePoint now) const {
  if (!m_request || now < m_next_at)
    return std::nullopt;
  return m_request;
}

void ViewSync::ObserveDifference(base::Endpoint peer,
                                 base::TimePoint own_view_changed_at,
                                 base::TimePoint now) {
  if (m_request)
    return;
  const base::Duration since_finish = now - m_finished_at;
  const bool is_settled = now - own_view_changed_at >= kSettlingTime ||
                          m_changes_since_sync >= kMaximumGossipedChanges;
  const bool is_due = since_finish >= kMaximumInterval ||
                      (since_finish >= kSettlingTime && is_settled);
  if (m_has_finished && !is_due)
    return;
  m_request = Request{peer, base::BalancerId()};
  m_unanswered_requests = 0;
  m_next_at = now;
}

void ViewSync::CountRequest(base::TimePoint now) {
  m_next_at = now + kPagePeriod;
  ++m_unanswered_requests;
  if (m_unanswered_requests >= kMaximumUnansweredRequests)
    m_request.reset();
}

void ViewSync::Receive(base::Endpoint from,
                       const peer::MembersReply& reply,
                       base::TimePoint now) {
  if (!m_request || from != m_request->m_to)
    return;
  const bool is_progress = reply.m_continue_after > m_request->m_after;
  m_unanswered_requests = 0;
  if (is_progress) {
    m_request->m_after = reply.m_continue_after;
    return;
  }
  if (reply.m_continue_after == base::BalancerId()) {
    m_request.reset();
    m_has_finished = true;
    m_changes_since_sync = 0;
    m_finished_at = now;
  }
}

}  // namespace membership
