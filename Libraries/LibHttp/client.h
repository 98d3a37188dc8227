// An asynchronous HTTP/1.1 client. Each request is sent at most once, on a
// connection of its own, with limits on its duration and on the sizes of
// request and response.

#ifndef LIBHTTP_CLIENT_H_
#define LIBHTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "LibBase/outcome.h"
#include "LibBase/strong_id.h"
#include "LibHttp/request.h"
#include "LibHttp/response.h"

namespace asio {
class io_context;
}  // namespace asio

namespace http {

class Exchange;

using RequestId = base::StrongId<struct RequestIdTag, std::uint64_t>;

// Must be used and destroyed on the thread that runs `context`.
class Client {
 public:
  // Called once, from the io_context, never within Send. Any error is an
  // http::Error.
  using Callback = std::function<void(base::Outcome<Response>)>;

  explicit Client(asio::io_context& context);
  // Closes the connections of all open requests without calling back.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Queries.
  std::size_t OpenRequests() const { return m_exchanges.size(); }
  // The bytes of response bodies received so far, including the bodies of
  // responses that are incomplete or failed.
  std::uint64_t ReceivedBodyBytes() const { return m_received_body_bytes; }

  // Commands.
  // Starts to send `request`. Every failure, including that of an invalid
  // request, is passed to `callback`.
  RequestId Send(const Request& request, Callback callback);
  // Closes the connection of a request without calling back. Does nothing if
  // the request has completed.
  void Cancel(RequestId id);

  static constexpr std::size_t kMaximumOpenRequests = 64;

 private:
  // Calls `callback` with `error` from the io_context.
  void PostError(Callback callback, std::error_code error);
  void OnComplete(RequestId id,
                  const Callback& callback,
                  base::Outcome<Response> outcome);

  asio::io_context& m_context;
  std::map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
  // False once the client is destroyed; posted callbacks check it.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
  std::uint64_t m_next_id = 1;
  std::uint64_t m_received_body_bytes = 0;
};

}  // namespace http

#endif  // LIBHTTP_CLIENT_H_
