#include "StandIns/answer_verifier.h"

#include <algorithm>

namespace stand_ins {

AnswerVerifier::AnswerVerifier(const Request& request,
                               base::Endpoint service_address)
    : m_request(request), m_service_address(service_address) {}

void AnswerVerifier::Add(std::string_view bytes) {
  m_bytes += bytes.size();
  while (!bytes.empty()) {
    if (m_whole || m_not_run || m_malformed) {
      m_wrong_bytes += bytes.size();
      return;
    }
    bytes.remove_prefix(m_header ? ParseBody(bytes) : ParseHeader(bytes));
  }
}

std::size_t AnswerVerifier::ParseHeader(std::string_view bytes) {
  const std::size_t count =
      std::min(bytes.size(), kAnswerHeaderBytes - m_header_bytes.size());
  m_header_bytes.append(bytes.substr(0, count));
  if (m_header_bytes.size() == kAnswerHeaderBytes)
    HandleHeader();
  return count;
}

void AnswerVerifier::HandleHeader() {
  m_header = DecodeAnswerHeader(m_header_bytes);
  m_header_bytes.clear();
  m_body_offset = 0;
  const AnswerStatus expected = m_request.m_kind == RequestKind::kFeed
                                    ? AnswerStatus::kEvent
                                    : AnswerStatus::kWhole;
  if (!m_header || (m_header->m_status != expected &&
                    m_header->m_status != AnswerStatus::kNotRun)) {
    m_malformed = true;
    m_wrong_bytes += kAnswerHeaderBytes;
    return;
  }
  if (m_header->m_id != m_request.m_id ||
      m_header->m_service_address != m_service_address)
    m_misdelivered = true;
  if (m_header->m_status == AnswerStatus::kWhole &&
      m_header->m_body_bytes != m_request.m_answer_bytes)
    m_wrong_bytes += kAnswerHeaderBytes;
  if (m_header->m_body_bytes == 0)
    HandleEndOfBody();
}

std::size_t AnswerVerifier::ParseBody(std::string_view bytes) {
  const std::size_t count = std::min<std::uint64_t>(
      bytes.size(), m_header->m_body_bytes - m_body_offset);
  const std::string expected =
      PatternBytes(m_request.m_id, m_body_offset, count);
  const std::string_view body = bytes.substr(0, count);
  if (body != expected) {
    for (std::size_t index = 0; index < count; ++index)
      m_wrong_bytes += body[index] != expected[index] ? 1 : 0;
  }
  m_body_offset += count;
  if (m_body_offset == m_header->m_body_bytes)
    HandleEndOfBody();
  return count;
}

void AnswerVerifier::HandleEndOfBody() {
  if (m_header->m_status == AnswerStatus::kEvent) {
    if (m_header->m_sequence != m_events)
      ++m_event_gaps;
    ++m_events;
  }
  m_whole = m_header->m_status == AnswerStatus::kWhole;
  m_not_run = m_header->m_status == AnswerStatus::kNotRun;
  m_header.reset();
}

}  // namespace stand_ins
