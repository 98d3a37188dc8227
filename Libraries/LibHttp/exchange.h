// Sends one request and reads its response on a connection of its own. Internal
// to LibHttp.

#ifndef LIBHTTP_EXCHANGE_H_
#define LIBHTTP_EXCHANGE_H_

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "LibBase/outcome.h"
#include "LibHttp/request.h"
#include "LibHttp/response_parser.h"

namespace http {

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Callback = std::function<void(base::Outcome<Response>)>;

  // `request_text` is `request` as serialized by SerializeRequest. The bytes of
  // the response's body are added to `received_body_bytes` as they arrive; the
  // counter must exist until the request has completed or Close is called.
  Exchange(asio::io_context& context,
           const Request& request,
           std::string request_text,
           std::uint64_t& received_body_bytes,
           Callback callback);

  // Commands.
  // Starts to connect. The callback is called once, never within Start.
  void Start();
  // Closes the connection. The callback is not called after Close.
  void Close();

 private:
  // The most bytes that one read receives.
  static constexpr std::size_t kReadBytes = 16UL * 1024UL;

  // Completes the request with `error` at `deadline`, unless the response
  // arrives first. Replaces an earlier deadline of the timer.
  void ArmTimer(base::TimePoint deadline, std::error_code error);
  // Whether the socket is connected. OnConnected may not have run yet.
  bool IsConnected();
  void OnConnectDeadline();
  void OnConnected(std::error_code error);
  void OnWritten(std::error_code error);
  void Read();
  void OnRead(std::error_code error, std::size_t length);
  // Closes the connection and calls the callback with `outcome`.
  void Complete(base::Outcome<Response> outcome);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::ip::tcp::endpoint m_endpoint;
  base::TimePoint m_deadline;
  base::TimePoint m_connect_deadline;
  std::string m_request_text;
  std::array<char, kReadBytes> m_read_buffer{};
  ResponseParser m_parser;
  std::uint64_t& m_received_body_bytes;
  Callback m_callback;
};

}  // namespace http

#endif  // LIBHTTP_EXCHANGE_H_
