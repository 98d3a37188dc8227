// Parses one HTTP/1.1 response from the bytes of a connection, using
// http_parser.

#ifndef LIBHTTP_RESPONSE_PARSER_H_
#define LIBHTTP_RESPONSE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <string_view>

#include "LibBase/outcome.h"
#include "LibHttp/response.h"

namespace http {

class ResponseParser {
 public:
  explicit ResponseParser(std::size_t body_limit_bytes);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Queries.
  bool IsComplete() const { return m_is_complete; }
  const Response& response() const { return m_response; }

  // Commands.
  // Parses the next bytes. Fails with kMalformedResponse or kResponseTooLarge.
  base::Outcome<void> Feed(std::string_view bytes);
  // Signals the end of the connection, which completes a response without
  // Content-Length. Fails with kClosedBeforeResponse if the response is
  // incomplete.
  base::Outcome<void> Finish();

  static constexpr std::size_t kMaximumHeaderBytes = 16UL * 1024UL;

 private:
  static ResponseParser& Self(http_parser* parser);
  static http_parser_settings MakeSettings();
  int OnHeaderName(std::string_view text);
  int OnHeaderValue(std::string_view text);
  int OnBody(std::string_view text);
  int OnMessageComplete();
  int Append(std::string& target, std::string_view text, std::size_t& budget);

  http_parser m_parser{};
  http_parser_settings m_settings;
  Response m_response;
  std::size_t m_header_budget_bytes = kMaximumHeaderBytes;
  std::size_t m_body_budget_bytes;
  bool m_last_was_value = true;
  bool m_is_too_large = false;
  bool m_is_complete = false;
};

}  // namespace http

#endif  // LIBHTTP_RESPONSE_PARSER_H_
