// Runs a CollectionWatcher on an io_context: sends its calls to the store and
// passes the results on.

#ifndef SERVICES_EDGE_STORE_READER_H_
#define SERVICES_EDGE_STORE_READER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibCatalog/collection_watcher.h"
#include "LibHttp/client.h"
#include "platform/store_calls.h"

namespace edge {

// The result of one call to the store.
struct StoreUpdate {
  catalog::CollectionWatcher::Outcome m_outcome;
  // For a list, the objects of all pages, set with the last page. While nothing
  // is known of the collection, each page before the last one has its objects
  // too.
  adapter::CollectionObjects m_objects;
  base::Duration m_call_time{};
  // The known revision before the call returned.
  catalog::Revision m_former_revision;
};

class StoreReader {
 public:
  using Callback = std::function<void(const StoreUpdate& update)>;

  StoreReader(asio::io_context& context,
              base::Endpoint store,
              adapter::Collection collection,
              const catalog::WatcherPolicy& policy,
              std::uint64_t seed,
              Callback callback);
  StoreReader(const StoreReader&) = delete;
  StoreReader& operator=(const StoreReader&) = delete;

  // Queries.
  const catalog::CollectionWatcher& watcher() const { return m_watcher; }
  adapter::Collection collection() const { return m_collection; }
  bool IsActive() const { return m_is_active; }
  // Whether the store responded to the last call, but not usably.
  bool IsAnswerUnusable() const {
    return m_last_failure == catalog::CallFailure::kMalformed;
  }
  // The number of calls since the start of the process.
  std::uint64_t Calls() const { return m_calls; }
  // The bytes of response bodies received so far, see http::Client.
  std::uint64_t ReceivedBodyBytes() const {
    return m_client.ReceivedBodyBytes();
  }

  // Commands.
  // Starts to call the store, or ceases to start calls. A call that is open
  // continues.
  void SetActive(bool is_active);
  void SetPolicy(const catalog::WatcherPolicy& policy) {
    m_watcher.SetPolicy(policy);
  }
  // Restarts the call in progress if the store has another address.
  void SetStore(base::Endpoint store);
  // Cancels the call in progress and, if active, sends the next call at once.
  // Needed after a pause of the process, when the call's connection may be
  // dead.
  void RestartCall();
  // Sends the next watch at once if the reader pauses between two.
  void EndPause();
  // Confirms by a call to the store, if active, that all changes made before
  // `needed_as_of` are known.
  void RequestConfirmation(base::TimePoint needed_as_of);
  void HandleSuspension(base::TimePoint now) {
    m_watcher.HandleSuspension(now);
  }
  // See CollectionWatcher::AdoptRevision.
  bool AdoptRevision(catalog::Revision revision) {
    return m_watcher.AdoptRevision(revision);
  }

 private:
  void SendOrScheduleCall();
  void Send(const catalog::CollectionCall& call, base::TimePoint now);
  void OnResponse(const catalog::CollectionCall& call,
                  base::TimePoint sent_at,
                  const base::Outcome<http::Response>& response);

  http::Client m_client;
  asio::steady_timer m_timer;
  base::Endpoint m_store;
  adapter::Collection m_collection;
  catalog::CollectionWatcher m_watcher;
  Callback m_callback;
  bool m_is_active = false;
  // Nothing if the last call succeeded.
  std::optional<catalog::CallFailure> m_last_failure;
  std::optional<http::RequestId> m_open_call;
  // The objects of the pages that the list in progress has received.
  adapter::CollectionObjects m_pages;
  std::uint64_t m_calls = 0;
  // Expires with the reader: a handler of the timer may be queued when the
  // reader is deleted, and a cancellation has no effect on it.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace edge

#endif  // SERVICES_EDGE_STORE_READER_H_
