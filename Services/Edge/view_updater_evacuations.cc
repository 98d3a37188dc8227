// The part of ViewUpdater that reads the evacuations of data centres.

#include <chrono>
#include <random>
#include <vector>

#include "LibEdge/store_pacing.h"
#include "view_updater.h"

namespace edge {

namespace {

using std::chrono::milliseconds;

// A balancer that starts does not place openings without the evacuations for
// this long after it knows servers and routes: a call to the store and a
// request to a seed may fail. Callers would wait longer if the kind cannot be
// read.
constexpr base::Duration kMaximumWaitForEvacuations = milliseconds(1000);

catalog::Evacuations MakeEvacuations(catalog::Revision revision,
                                     const std::vector<EvacuationEvent>& list) {
  catalog::Evacuations evacuations{revision, {}};
  for (const EvacuationEvent& entry : list) {
    if (entry.m_revision)
      evacuations.m_objects[entry.m_data_centre] = *entry.m_revision;
  }
  return evacuations;
}

}  // namespace

void ViewUpdater::UpdateEvacuationUse() {
  const bool is_needed = m_settings.m_evacuation_bound.has_value();
  if (is_needed && m_evacuations == nullptr) {
    m_evacuations = std::make_unique<StoreReader>(
        m_context, m_settings.m_store, adapter::Collection::kEvacuations,
        MakeReaderPolicy(m_settings), std::random_device()(),
        [this](const StoreUpdate& update) {
          OnStoreUpdate(*m_evacuations, update);
        });
    return;
  }
  if (is_needed || m_evacuations == nullptr)
    return;
  m_former_evacuation_bytes += m_evacuations->ReceivedBodyBytes();
  // A later reader lists the kind again.
  m_evacuations.reset();
  m_steering.SetAwaitsEvacuations(false);
  const base::TimePoint now = base::Clock::now();
  m_log.WriteEvacuations(m_view.ApplyEvacuations({}, now), {}, "settings", now);
}

void ViewUpdater::LimitWaitForEvacuations(base::TimePoint now) {
  if (!m_steering.AwaitsEvacuations() || !Status(now).HasView())
    return;
  if (!m_waits_for_evacuations_since)
    m_waits_for_evacuations_since = now;
  if (now - *m_waits_for_evacuations_since < kMaximumWaitForEvacuations)
    return;
  m_steering.SetAwaitsEvacuations(false);
  m_on_change();
}

void ViewUpdater::AdoptEvacuations(const catalog::Evacuations& evacuations,
                                   base::TimePoint now) {
  if (!m_evacuations || !m_evacuations->AdoptRevision(evacuations.m_revision))
    return;
  m_steering.SetAwaitsEvacuations(false);
  m_log.WriteEvacuations(m_view.ApplyEvacuations(evacuations, now),
                         evacuations.m_revision, "peer", now);
}

void ViewUpdater::OnEvacuations(const StoreUpdate& update,
                                base::TimePoint now) {
  const catalog::Revision revision = m_evacuations->watcher().KnownRevision();
  const auto& objects = update.m_objects;
  if (update.m_outcome.m_update == catalog::CollectionUpdate::kNone ||
      update.m_outcome.m_update == catalog::CollectionUpdate::kFirstListPage)
    return;
  const bool is_list =
      update.m_outcome.m_update == catalog::CollectionUpdate::kListComplete;
  const EvacuationChanges changes =
      is_list
          ? m_view.ApplyEvacuations(
                MakeEvacuations(revision, objects.m_evacuations), now)
          : m_view.ApplyEvacuationEvents(objects.m_evacuations, revision, now);
  m_steering.SetAwaitsEvacuations(false);
  m_log.WriteEvacuations(changes, revision, "store", now);
}

}  // namespace edge
