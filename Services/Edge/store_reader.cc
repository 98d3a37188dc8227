#include "store_reader.h"

#include <iterator>
#include <utility>
#include <variant>

namespace edge {

namespace {

void Append(adapter::CollectionObjects& pages,
            adapter::CollectionObjects objects) {
  pages.m_servers.insert(pages.m_servers.end(),
                         std::make_move_iterator(objects.m_servers.begin()),
                         std::make_move_iterator(objects.m_servers.end()));
  pages.m_manifests.insert(pages.m_manifests.end(),
                           std::make_move_iterator(objects.m_manifests.begin()),
                           std::make_move_iterator(objects.m_manifests.end()));
  pages.m_ignored += objects.m_ignored;
}

}  // namespace

StoreReader::StoreReader(asio::io_context& context,
                         base::Endpoint store,
                         adapter::Collection collection,
                         const catalog::FollowerPolicy& policy,
                         std::uint64_t seed,
                         Callback callback)
    : m_client(context),
      m_timer(context),
      m_store(store),
      m_collection(collection),
      m_follower(policy, base::Random(seed), base::Clock::now()),
      m_callback(std::move(callback)) {}

void StoreReader::Reconfigure(base::Endpoint store,
                              const catalog::FollowerPolicy& policy) {
  m_follower.SetPolicy(policy);
  if (store == m_store)
    return;
  m_store = store;
  AskAnew();
}

void StoreReader::AskAnew() {
  const base::TimePoint now = base::Clock::now();
  if (m_open_call) {
    m_client.Cancel(*std::exchange(m_open_call, std::nullopt));
    m_follower.HandleResult(catalog::CallFailure::kConnectionLost, now);
  }
  m_follower.Expedite(now);
  Continue();
}

void StoreReader::Continue() {
  const base::TimePoint now = base::Clock::now();
  if (const auto call = m_follower.TakeCall(now)) {
    Send(*call, now);
    return;
  }
  if (m_follower.IsCallOpen())
    return;
  m_timer.expires_at(m_follower.NextCallAt());
  m_timer.async_wait([this](const std::error_code& error) {
    if (!error)
      Continue();
  });
}

void StoreReader::Send(const catalog::CollectionCall& call,
                       base::TimePoint now) {
  ++m_calls;
  m_open_call = m_client.Send(
      adapter::MakeRequest(m_store, m_collection, call),
      [this, call, now](const base::Outcome<http::Response>& answer) {
        OnAnswer(call, now, answer);
      });
}

void StoreReader::OnAnswer(const catalog::CollectionCall& call,
                           base::TimePoint sent_at,
                           const base::Outcome<http::Response>& answer) {
  m_open_call.reset();
  const base::TimePoint now = base::Clock::now();
  adapter::CollectionAnswer decoded =
      adapter::Interpret(m_collection, call, answer);
  const auto* list = std::get_if<catalog::ListCall>(&call);
  if (list != nullptr && list->m_after.empty())
    m_pages = {};
  StoreNews news;
  news.m_call_time = now - sent_at;
  news.m_outcome = m_follower.HandleResult(decoded.m_result, now);
  if (const auto* failure =
          std::get_if<catalog::CallFailure>(&decoded.m_result))
    news.m_failure = *failure;
  if (list == nullptr) {
    news.m_objects = std::move(decoded.m_objects);
  } else {
    Append(m_pages, std::move(decoded.m_objects));
    if (news.m_outcome.m_step == catalog::FollowerStep::kListed)
      news.m_objects = std::exchange(m_pages, {});
  }
  m_callback(news);
  Continue();
}

}  // namespace edge
