#include "http_call.h"

#include <asio/io_context.hpp>

#include <optional>
#include <utility>

#include "LibHttp/client.h"

namespace integration {

http::Response CallHttp(base::Endpoint endpoint,
                        http::Method method,
                        const std::string& path,
                        http::Headers headers,
                        std::string body) {
  asio::io_context context;
  http::Client client(context);
  std::optional<http::Response> response;
  client.Send({.m_method = method,
               .m_endpoint = endpoint,
               .m_path = path,
               .m_headers = std::move(headers),
               .m_body = std::move(body)},
              [&response](const base::Outcome<http::Response>& outcome) {
                if (outcome)
                  response = outcome.value();
              });
  context.run();
  return response.value_or(http::Response{});
}

}  // namespace integration
