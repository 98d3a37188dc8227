#include "LibHttp/client.h"

#include <asio.hpp>
#include <utility>

#include "LibHttp/error.h"
#include "LibHttp/exchange.h"

namespace http {

Client::Client(asio::io_context& context) : m_context(context) {}

Client::~Client() {
  *m_is_alive = false;
  for (const auto& [id, exchange] : m_exchanges)
    exchange->Close();
}

RequestId Client::Send(const Request& request, Callback callback) {
  const RequestId id(m_next_id++);
  auto text = SerializeRequest(request);
  if (!text) {
    PostError(std::move(callback), text.error());
    return id;
  }
  if (m_exchanges.size() >= kMaximumOpenRequests) {
    PostError(std::move(callback), Error::kTooManyRequests);
    return id;
  }
  auto exchange = std::make_shared<Exchange>(
      m_context, request, std::move(text).value(), m_received_body_bytes,
      [this, id, callback = std::move(callback)](auto outcome) {
        OnComplete(id, callback, std::move(outcome));
      });
  m_exchanges.emplace(id, exchange);
  exchange->Start();
  return id;
}

void Client::Cancel(RequestId id) {
  const auto found = m_exchanges.find(id);
  if (found == m_exchanges.end())
    return;
  found->second->Close();
  m_exchanges.erase(found);
}

void Client::PostError(Callback callback, std::error_code error) {
  asio::post(m_context,
             [is_alive = m_is_alive, callback = std::move(callback), error] {
               if (*is_alive)
                 callback(error);
             });
}

void Client::OnComplete(RequestId id,
                        const Callback& callback,
                        base::Outcome<Response> outcome) {
  m_exchanges.erase(id);
  callback(std::move(outcome));
}

}  // namespace http
