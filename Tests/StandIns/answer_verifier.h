// Verifies the answer to one request while its bytes arrive.

#ifndef STANDINS_ANSWER_VERIFIER_H_
#define STANDINS_ANSWER_VERIFIER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/ipv4.h"
#include "StandIns/request_message.h"

namespace stand_ins {

class AnswerVerifier {
 public:
  AnswerVerifier(const Request& request, base::Endpoint service_address);

  // Queries.
  // Whether the whole answer to a request other than a feed has arrived.
  bool IsWhole() const { return m_whole; }
  // Whether the server reported that it did not run the request.
  bool IsNotRun() const { return m_not_run; }
  bool HasBegun() const { return m_bytes > 0; }
  // Whether bytes arrived that are no valid answer. Later bytes are not parsed.
  bool IsMalformed() const { return m_malformed; }
  // Whether a header carried another request id or service address.
  bool IsMisdelivered() const { return m_misdelivered; }
  std::uint64_t Bytes() const { return m_bytes; }
  // Bytes that differ from the pattern, are malformed or follow the answer.
  std::uint64_t WrongBytes() const { return m_wrong_bytes; }
  std::uint64_t Events() const { return m_events; }
  // Number of events whose sequence number was not the next one.
  std::uint64_t EventGaps() const { return m_event_gaps; }

  // Commands.
  void Add(std::string_view bytes);

 private:
  // Each function consumes a prefix of `bytes` and returns the length of that
  // prefix, at least 1.
  std::size_t ParseHeader(std::string_view bytes);
  std::size_t ParseBody(std::string_view bytes);
  void HandleHeader();
  void HandleEndOfBody();

  Request m_request;
  base::Endpoint m_service_address;
  std::string m_header_bytes;
  std::optional<AnswerHeader> m_header;
  std::uint64_t m_body_offset = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_wrong_bytes = 0;
  std::uint64_t m_events = 0;
  std::uint64_t m_event_gaps = 0;
  bool m_whole = false;
  bool m_not_run = false;
  bool m_misdelivered = false;
  bool m_malformed = false;
};

}  // namespace stand_ins

#endif  // STANDINS_ANSWER_VERIFIER_H_
