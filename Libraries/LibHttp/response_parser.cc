#include "LibHttp/response_parser.h"

#include "LibHttp/error.h"

namespace http {

namespace {

// Return values of the callbacks of http_parser.
constexpr int kContinue = 0;
constexpr int kStop = 1;

}  // namespace

ResponseParser::ResponseParser(std::size_t body_limit_bytes)
    : m_settings(MakeSettings()), m_body_budget_bytes(body_limit_bytes) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
}

ResponseParser& ResponseParser::Self(http_parser* parser) {
  return *static_cast<ResponseParser*>(parser->data);
}

http_parser_settings ResponseParser::MakeSettings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_header_field = [](http_parser* parser, const char* at,
                                std::size_t length) {
    return Self(parser).OnHeaderName({at, length});
  };
  settings.on_header_value = [](http_parser* parser, const char* at,
                                std::size_t length) {
    return Self(parser).OnHeaderValue({at, length});
  };
  settings.on_body = [](http_parser* parser, const char* at,
                        std::size_t length) {
    return Self(parser).OnBody({at, length});
  };
  settings.on_message_complete = [](http_parser* parser) {
    return Self(parser).OnMessageComplete();
  };
  return settings;
}

int ResponseParser::Append(std::string& target,
                           std::string_view text,
                           std::size_t& budget) {
  if (text.size() > budget) {
    m_is_too_large = true;
    return kStop;
  }
  budget -= text.size();
  target.append(text);
  return kContinue;
}

int ResponseParser::OnHeaderName(std::string_view text) {
  if (m_last_was_value)
    m_response.m_headers.emplace_back();
  m_last_was_value = false;
  return Append(m_response.m_headers.back().m_name, text,
                m_header_budget_bytes);
}

int ResponseParser::OnHeaderValue(std::string_view text) {
  m_last_was_value = true;
  return Append(m_response.m_headers.back().m_value, text,
                m_header_budget_bytes);
}

int ResponseParser::OnBody(std::string_view text) {
  return Append(m_response.m_body, text, m_body_budget_bytes);
}

int ResponseParser::OnMessageComplete() {
  m_response.m_status = static_cast<std::uint16_t>(m_parser.status_code);
  m_is_complete = true;
  // Bytes after the response are not parsed.
  http_parser_pause(&m_parser, 1);
  return kContinue;
}

base::Outcome<void> ResponseParser::Feed(std::string_view bytes) {
  if (m_is_complete || bytes.empty())
    return base::Success();
  http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
  if (m_is_too_large)
    return Error::kResponseTooLarge;
  if (m_is_complete)
    return base::Success();
  if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK)
    return Error::kMalformedResponse;
  return base::Success();
}

base::Outcome<void> ResponseParser::Finish() {
  if (!m_is_complete)
    http_parser_execute(&m_parser, &m_settings, nullptr, 0);
  if (!m_is_complete)
    return Error::kClosedBeforeResponse;
  return base::Success();
}

}  // namespace http
