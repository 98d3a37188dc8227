// One connection of the stand-in backend server: the TCP endpoint, the request
// that arrives on the connection and the answer to the request.

#ifndef STANDINS_SERVER_CONNECTION_H_
#define STANDINS_SERVER_CONNECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "StandIns/request_message.h"
#include "StandIns/tcp_connection.h"

namespace stand_ins {

class ServerConnection {
 public:
  ServerConnection(TcpConnection tcp, base::Endpoint service_address);

  // Queries.
  const TcpConnection& Tcp() const { return m_tcp; }
  // The request, once all its bytes have arrived. A malformed request aborts
  // the connection.
  const std::optional<Request>& ReceivedRequest() const { return m_request; }
  bool IsMalformed() const { return m_malformed; }
  std::optional<base::TimePoint> NextDeadline() const;

  // Commands.
  void Receive(const TcpSegment& segment, base::TimePoint now);
  void Advance(base::TimePoint now);
  // Starts sending the answer. A feed sends its first event at once.
  void StartAnswer(base::TimePoint now);
  // Sends the answer that reports that the request did not run.
  void AnswerNotRun();
  std::vector<TcpSegment> TakeSegments(base::TimePoint now);

 private:
  enum class Phase { kReading, kWaiting, kSendingBody, kFeeding, kDone };

  void ReadRequest();
  void SendMoreOfAnswer();
  // Sends FIN after the peer's FIN, unless part of the answer is unsent.
  void CloseAfterPeer();
  void SendDueEvents(base::TimePoint now);
  void SendEvent();
  AnswerHeader MakeHeader(AnswerStatus status) const;

  TcpConnection m_tcp;
  base::Endpoint m_service_address;
  std::string m_received;
  std::optional<Request> m_request;
  bool m_malformed = false;
  Phase m_phase = Phase::kReading;
  std::uint32_t m_answer_offset = 0;
  std::uint64_t m_next_sequence = 0;
  base::TimePoint m_next_event;
};

}  // namespace stand_ins

#endif  // STANDINS_SERVER_CONNECTION_H_
