#include "store_reader.h"

#include <iterator>
#include <utility>
#include <variant>

namespace edge {

namespace {

void AppendObjects(adapter::CollectionObjects& pages,
                   adapter::CollectionObjects objects) {
  pages.m_servers.insert(pages.m_servers.end(),
                         std::make_move_iterator(objects.m_servers.begin()),
                         std::make_move_iterator(objects.m_servers.end()));
  pages.m_manifests.insert(pages.m_manifests.end(),
                           std::make_move_iterator(objects.m_manifests.begin()),
                           std::make_move_iterator(objects.m_manifests.end()));
  pages.m_evacuations.insert(
      pages.m_evacuations.end(),
      std::make_move_iterator(objects.m_evacuations.begin()),
      std::make_move_iterator(objects.m_evacuations.end()));
  pages.m_ignored += objects.m_ignored;
  pages.m_problems.Append(std::move(objects.m_problems));
}

}  // namespace

StoreReader::StoreReader(asio::io_context& context,
                         base::Endpoint store,
                         adapter::Collection collection,
                         const catalog::WatcherPolicy& policy,
                         std::uint64_t seed,
                         Callback callback)
    : m_client(context),
      m_timer(context),
      m_store(store),
      m_collection(collection),
      m_watcher(policy, base::Random(seed), base::Clock::now()),
      m_callback(std::move(callback)) {}

void StoreReader::SetActive(bool is_active) {
  if (m_is_active == is_active)
    return;
  m_is_active = is_active;
  if (!is_active) {
    m_timer.cancel();
    return;
  }
  m_watcher.Expedite(base::Clock::now());
  SendOrScheduleCall();
}

void StoreReader::SetStore(base::Endpoint store) {
  if (store == m_store)
    return;
  m_store = store;
  RestartCall();
}

void StoreReader::RestartCall() {
  const base::TimePoint now = base::Clock::now();
  if (m_open_call) {
    m_client.Cancel(*std::exchange(m_open_call, std::nullopt));
    m_watcher.HandleResult(catalog::CallFailure::kConnectionLost, now);
  }
  m_watcher.Expedite(now);
  SendOrScheduleCall();
}

void StoreReader::EndPause() {
  m_watcher.EndPause(base::Clock::now());
  SendOrScheduleCall();
}

void StoreReader::RequestConfirmation(base::TimePoint needed_as_of) {
  if (!m_is_active)
    return;
  const bool is_in_the_way =
      m_watcher.RequestConfirmation(needed_as_of, base::Clock::now());
  if (is_in_the_way && m_open_call) {
    m_client.Cancel(*std::exchange(m_open_call, std::nullopt));
    m_watcher.HandleCancellation();
  }
  SendOrScheduleCall();
}

void StoreReader::SendOrScheduleCall() {
  if (!m_is_active)
    return;
  const base::TimePoint now = base::Clock::now();
  if (const auto call = m_watcher.StartDueCall(now)) {
    Send(*call, now);
    return;
  }
  if (m_watcher.IsCallOpen())
    return;
  m_timer.expires_at(m_watcher.NextCallAt());
  m_timer.async_wait([this, lifetime = std::weak_ptr<bool>(m_lifetime)](
                         const std::error_code& error) {
    if (!error && !lifetime.expired())
      SendOrScheduleCall();
  });
}

void StoreReader::Send(const catalog::CollectionCall& call,
                       base::TimePoint now) {
  ++m_calls;
  m_open_call = m_client.Send(
      adapter::MakeRequest(m_store, m_collection, call),
      [this, call, now](const base::Outcome<http::Response>& response) {
        OnResponse(call, now, response);
      });
}

void StoreReader::OnResponse(const catalog::CollectionCall& call,
                             base::TimePoint sent_at,
                             const base::Outcome<http::Response>& response) {
  m_open_call.reset();
  const base::TimePoint now = base::Clock::now();
  adapter::CollectionResponse decoded =
      adapter::DecodeResponse(m_collection, call, response);
  const auto* list = std::get_if<catalog::ListCall>(&call);
  if (list != nullptr && list->m_after.empty())
    m_pages = {};
  StoreUpdate update;
  update.m_call_time = now - sent_at;
  update.m_former_revision = m_watcher.KnownRevision();
  update.m_outcome = m_watcher.HandleResult(decoded.m_result, now);
  m_last_failure = update.m_outcome.m_failure;
  if (list == nullptr) {
    update.m_objects = std::move(decoded.m_objects);
  } else {
    const bool is_complete =
        update.m_outcome.m_update == catalog::CollectionUpdate::kListComplete;
    if (update.m_outcome.m_update == catalog::CollectionUpdate::kFirstListPage)
      update.m_objects.m_servers = decoded.m_objects.m_servers;
    AppendObjects(m_pages, std::move(decoded.m_objects));
    if (is_complete)
      update.m_objects = std::exchange(m_pages, {});
  }
  m_callback(update);
  SendOrScheduleCall();
}

}  // namespace edge
