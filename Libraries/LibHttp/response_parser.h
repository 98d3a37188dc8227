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
  // A body of more than `body_limit_bytes` bytes is too large.
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

  // Limits the total size of the names and values of all header fields.
  static constexpr std::size_t kMaximumHeaderBytes = 16UL * 1024UL;

 private:
  // Returns the ResponseParser that owns `parser`.
  static ResponseParser& Self(http_parser* parser);
  static http_parser_settings MakeSettings();
  // The callbacks of http_parser. A return value other than 0 stops the parser.
  // http_parser may deliver a name, a value or the body in several pieces.
  int OnHeaderName(std::string_view text);
  int OnHeaderValue(std::string_view text);
  int OnBody(std::string_view text);
  int OnMessageComplete();
  // Appends `text` to `target` and subtracts its size from `budget`. Stops the
  // parser if `budget`, in bytes, is too small.
  int Append(std::string& target, std::string_view text, std::size_t& budget);

  http_parser m_parser{};
  http_parser_settings m_settings;
  Response m_response;
  std::size_t m_header_budget_bytes = kMaximumHeaderBytes;
  std::size_t m_body_budget_bytes;
  // Whether the last piece of a header field belonged to a value. The next name
  // then starts a new field.
  bool m_last_was_value = true;
  bool m_is_too_large = false;
  bool m_is_complete = false;
};

}  // namespace http

#endif  // LIBHTTP_RESPONSE_PARSER_H_
