#include "LibCatalog/collection_watcher.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "LibBase/overloaded.h"

namespace catalog {

CollectionWatcher::CollectionWatcher(WatcherPolicy policy,
                                     base::Random random,
                                     base::TimePoint now)
    : m_policy(policy),
      m_random(random),
      m_back_off(policy.m_initial_back_off, policy.m_maximum_back_off),
      m_next_call_at(now) {}

void CollectionWatcher::SetPolicy(const WatcherPolicy& policy) {
  // The back-off of an outage continues.
  if (policy == m_policy)
    return;
  m_policy = policy;
  m_back_off =
      platform::BackOff(policy.m_initial_back_off, policy.m_maximum_back_off);
}

bool CollectionWatcher::IsCurrent(base::TimePoint now) const {
  if (m_failing_since || m_is_listing || !IsConfirmedRecently(now))
    return false;
  const base::TimePoint expected =
      m_is_call_open ? m_call_started_at + m_call_wait : m_next_call_at;
  return now <= expected + m_policy.m_overdue_response;
}

bool CollectionWatcher::IsConfirmedRecently(base::TimePoint now) const {
  // A watch confirms the time of its start, and the next one may take as long.
  const base::Duration longest = 2 * m_policy.m_watch_wait +
                                 m_policy.m_pause_between_watches +
                                 m_policy.m_late_response;
  return m_confirmed_at && now - *m_confirmed_at <= longest;
}

std::optional<CollectionCall> CollectionWatcher::StartDueCall(
    base::TimePoint now) {
  if (m_is_call_open || now < m_next_call_at)
    return std::nullopt;
  m_is_call_open = true;
  m_call_started_at = now;
  m_call_wait = base::Duration::zero();
  if (m_is_listing && m_last_listed_name.empty())
    m_list_started_at = now;
  if (m_is_listing)
    return ListCall{m_last_listed_name};
  m_call_wait = NextWatchWait(now);
  m_watch_since = m_revision;
  return WatchCall{m_revision, m_call_wait};
}

base::Duration CollectionWatcher::NextWatchWait(base::TimePoint now) const {
  if (NeedsConfirmation())
    return base::Duration::zero();
  if (m_failing_since || !m_responded_at || !IsConfirmedRecently(now))
    return m_policy.m_watch_wait_in_outage;
  return std::max(m_policy.m_watch_wait - (now - *m_responded_at),
                  m_policy.m_watch_wait_in_outage);
}

CollectionWatcher::Outcome CollectionWatcher::HandleResult(
    const CallResult& response,
    base::TimePoint now) {
  m_is_call_open = false;
  const bool was_failing = m_failing_since.has_value();
  const Revision former = m_revision;
  const CallResult result =
      IsOfFormerEra(response) ? CallFailure::kFormerEra : response;
  Outcome outcome;
  if (const auto* failure = std::get_if<CallFailure>(&result))
    outcome.m_failure = *failure;
  outcome.m_update = std::visit(
      base::Overloaded{
          [&](const PageResponse& page) { return HandlePage(page, now); },
          [&](const ChangesResponse& changes) {
            return HandleChanges(changes, now);
          },
          [&](CallFailure failure) {
            HandleFailure(failure, now);
            return CollectionUpdate::kNone;
          },
      },
      result);
  const bool is_failing = m_failing_since.has_value();
  if (!is_failing)
    m_responded_at = now;
  const bool is_late =
      now - m_call_started_at > m_call_wait + m_policy.m_late_response;
  outcome.m_is_store_lost = !was_failing && (is_failing || is_late);
  outcome.m_is_store_restored =
      former != Revision() && m_revision.era() > former.era();
  outcome.m_is_store_regained =
      (!is_failing && (was_failing || is_late)) || outcome.m_is_store_restored;
  return outcome;
}

bool CollectionWatcher::IsOfFormerEra(const CallResult& response) const {
  return std::visit(base::Overloaded{
                        [](CallFailure) { return false; },
                        [this](const auto& success) {
                          return success.m_store_revision.era() <
                                 m_revision.era();
                        },
                    },
                    response);
}

bool CollectionWatcher::RequestConfirmation(base::TimePoint needed_as_of,
                                            base::TimePoint now) {
  m_needed_as_of = std::max(m_needed_as_of, std::optional(needed_as_of));
  if (!NeedsConfirmation() || m_is_listing || m_failing_since)
    return false;
  const base::TimePoint due =
      std::max(now, m_call_started_at + m_policy.m_confirmation_interval);
  if (!m_is_call_open) {
    m_next_call_at = std::min(m_next_call_at, due);
    return false;
  }
  // An overdue response shows an outage, so it is awaited.
  const bool is_waiting = now < m_call_started_at + m_call_wait;
  if (!is_waiting)
    return false;
  m_next_call_at = due;
  return true;
}

void CollectionWatcher::HandleSuspension(base::TimePoint now) {
  m_suspended_until = now;
  m_current_as_of.reset();
}

void CollectionWatcher::RecordCurrentAsOf(base::TimePoint time) {
  if (time >= m_suspended_until)
    m_current_as_of = time;
}

bool CollectionWatcher::AdoptRevision(Revision revision) {
  if (revision <= m_revision)
    return false;
  m_revision = revision;
  m_has_adopted_list = m_is_call_open && m_is_listing;
  // The next watch starts at the revision that the peer has read.
  if (!m_is_call_open) {
    m_is_listing = false;
    ResetList();
  }
  return true;
}

CollectionUpdate CollectionWatcher::HandlePage(const PageResponse& page,
                                               base::TimePoint now) {
  m_failing_since.reset();
  m_back_off.Reset();
  m_next_call_at = now;
  if (!m_list_revision)
    m_list_revision = page.m_store_revision;
  if (page.m_store_revision.era() != m_list_revision->era()) {
    ListAgain(now);
    return CollectionUpdate::kNone;
  }
  if (page.m_has_more) {
    m_last_listed_name = page.m_last_name;
    return m_revision == Revision() ? CollectionUpdate::kFirstListPage
                                    : CollectionUpdate::kNone;
  }
  const Revision listed = *m_list_revision;
  ResetList();
  // A list that is older than the known revision would add servers again that
  // have been removed since.
  if (listed < m_revision) {
    m_next_call_at = now + m_back_off.Next(m_random);
    // The complete list of a peer needs no further list.
    m_is_listing = !std::exchange(m_has_adopted_list, false);
    return CollectionUpdate::kNone;
  }
  m_is_listing = false;
  m_has_adopted_list = false;
  m_revision = listed;
  m_confirmed_at = m_call_started_at;
  RecordCurrentAsOf(m_list_started_at);
  return CollectionUpdate::kListComplete;
}

CollectionUpdate CollectionWatcher::HandleChanges(
    const ChangesResponse& changes,
    base::TimePoint now) {
  m_failing_since.reset();
  m_back_off.Reset();
  const Revision received = changes.m_store_revision;
  if (received.era() > m_revision.era()) {
    ListAgain(now);
    return CollectionUpdate::kNone;
  }
  // A peer's list of a later era was adopted while the watch was open, so the
  // events don't follow the known revision.
  if (received.era() != m_watch_since.era()) {
    m_next_call_at = now + m_back_off.Next(m_random);
    return CollectionUpdate::kNone;
  }
  // A peer's view was adopted while the watch was open. Some of the events that
  // it contains precede that view and would bring back servers that have left.
  if (m_watch_since != m_revision && received > m_revision) {
    m_next_call_at = now;
    return CollectionUpdate::kNone;
  }
  m_confirmed_at = m_call_started_at;
  RecordCurrentAsOf(m_call_started_at);
  // A watch that took at least as long as the pause needs no further pause.
  const bool has_waited =
      now - m_call_started_at >= m_policy.m_pause_between_watches;
  m_next_call_at = has_waited ? now : now + m_policy.m_pause_between_watches;
  if (NeedsConfirmation())
    m_next_call_at =
        std::max(now, m_call_started_at + m_policy.m_confirmation_interval);
  // The peer's view contains the events and what followed them.
  if (m_watch_since != m_revision || received < m_revision)
    return CollectionUpdate::kNone;
  m_revision = received;
  return CollectionUpdate::kChanged;
}

void CollectionWatcher::HandleFailure(CallFailure failure,
                                      base::TimePoint now) {
  if (failure == CallFailure::kHistoryGone) {
    ListAgain(now);
    return;
  }
  if (failure == CallFailure::kFormerEra && m_is_listing) {
    ResetList();
    // The complete list of a peer needs no further list.
    m_is_listing = !std::exchange(m_has_adopted_list, false);
  }
  // The same watch would get the same response. The objects of a list come in
  // pages of limited size.
  if (failure == CallFailure::kMalformed && !m_is_listing) {
    ResetList();
    m_is_listing = true;
  }
  if (!m_failing_since)
    m_failing_since = now;
  m_next_call_at = now + m_back_off.Next(m_random);
}

void CollectionWatcher::ListAgain(base::TimePoint now) {
  ResetList();
  m_is_listing = true;
  m_next_call_at = now;
}

void CollectionWatcher::ResetList() {
  m_list_revision.reset();
  m_last_listed_name.clear();
}

}  // namespace catalog
