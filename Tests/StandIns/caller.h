// The stand-in for callers: opens flows at a given rate through the fabric and
// counts the result of each flow.

#ifndef STANDINS_CALLER_H_
#define STANDINS_CALLER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/random.h"
#include "StandIns/caller_flow.h"
#include "StandIns/caller_report.h"
#include "StandIns/deadline_timer.h"
#include "StandIns/line_commands.h"
#include "StandIns/request_source.h"
#include "StandIns/source_ports.h"
#include "StandIns/udp_port.h"

namespace stand_ins {

class EventLoop;

struct CallerOptions {
  base::Ipv4Address m_address;
  base::Endpoint m_fabric;
  base::Endpoint m_service_address;
  std::uint64_t m_seed = 0;
  double m_openings_per_second = 0;
  std::chrono::milliseconds m_duration{};
  // The maximum number of requests; 0: unlimited.
  std::uint64_t m_maximum_flows = 0;
  RequestSourceOptions m_requests;
  std::chrono::milliseconds m_deadline{};
  std::chrono::milliseconds m_silence{};
  std::chrono::milliseconds m_upload_interval{};
  std::uint16_t m_low_port = 1024;
  std::uint16_t m_high_port = 65535;
  PortReuse m_port_reuse = PortReuse::kLongestFree;
  int m_retries_not_run = 0;
};

class Caller {
 public:
  using Printer = std::function<void(const JsonLine& line)>;

  // `loop` must outlive the caller, and the caller its timers. `print` receives
  // the lines that are not the response to a command.
  Caller(EventLoop* loop, const CallerOptions& options, Printer print);

  // Queries.
  JsonLine ListeningLine() const;
  // The current counters.
  JsonLine ReportLine() const;
  JsonLine RefusedIdsLine() const { return m_report.RefusedIdsLine(); }

  // Commands.
  base::Outcome<void> Open();
  void AddCommands(LineCommands* commands);
  // Opens flows until m_duration has passed.
  void Start();

 private:
  struct Attempt {
    Request m_request;
    base::TimePoint m_first_attempt_time;  // when the request was first sent
    int m_previous_attempts = 0;           // attempts before this one
  };

  struct OpenFlow {
    OpenFlow(CallerFlow flow,
             const Attempt& attempt,
             base::Endpoint fabric,
             base::TimerService* timers,
             DeadlineTimer::Callback callback)
        : m_flow(std::move(flow)),
          m_attempt(attempt),
          m_fabric(fabric),
          m_timer(timers, std::move(callback)) {}

    CallerFlow m_flow;
    Attempt m_attempt;
    // The fabric of the data centre in which the flow was opened.
    base::Endpoint m_fabric;
    DeadlineTimer m_timer;
    bool m_established_counted = false;
    bool m_result_counted = false;
  };

  JsonLine ProgressLine() const;
  void AddCounters(JsonLine* line) const;

  void ScheduleOpening(base::TimePoint when);
  void OpenNext(base::TimePoint now);
  // Returns whether a source port was free.
  bool OpenFlowFor(const Attempt& attempt, base::TimePoint now);
  void StopOpening(base::TimePoint now);
  // Opens all later flows in another data centre.
  CommandResult SetFabric(const LineCommands::Words& words);
  void HandleDatagram(UdpPort::Bytes datagram);
  void HandleTimer(std::uint16_t port, base::TimePoint now);
  // Counts the result if it is decided, sends the due segments and removes the
  // flow if its connection has closed.
  void Update(std::uint16_t port, base::TimePoint now);
  void HandleResult(const OpenFlow& open, base::TimePoint now);
  bool ScheduleRetry(const OpenFlow& open, base::TimePoint now);
  void Retry(const Attempt& attempt,
             FlowResult last_result,
             base::TimePoint now);
  void ReportIfFinished();
  void SendSegment(const TcpSegment& segment,
                   std::uint16_t port,
                   base::Endpoint fabric);

  EventLoop* m_loop;
  CallerOptions m_options;
  Printer m_print;
  base::Random m_random;
  RequestSource m_requests;
  SourcePorts m_ports;
  std::unique_ptr<UdpPort> m_socket;
  std::unordered_map<std::uint16_t, std::unique_ptr<OpenFlow>> m_flows;
  std::uint64_t m_undecided = 0;  // flows without a result, and retries
  base::TimePoint m_opening_end;
  std::uint64_t m_opened = 0;
  // Packets from another service or to another caller.
  std::uint64_t m_foreign_packets = 0;
  bool m_stopping = false;
  bool m_final_report_sent = false;
  CallerReport m_report;
};

}  // namespace stand_ins

#endif  // STANDINS_CALLER_H_
