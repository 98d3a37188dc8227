#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "LibBase/hash.h"
#include "StandIns/caller.h"
#include "StandIns/command_input.h"
#include "StandIns/event_loop.h"
#include "StandIns/subcommands.h"

namespace stand_ins {

namespace {

constexpr char kMix[] = "mix";

// Option values that are converted after parsing.
struct RawOptions {
  std::int64_t m_duration_ms = 0;
  std::int64_t m_service_time_ms = 0;
  std::int64_t m_feed_interval_ms = 1000;
  std::int64_t m_upload_interval_ms = 0;
  std::int64_t m_deadline_ms = 30000;
  std::int64_t m_silence_ms = 5000;
  std::string m_kind;
  std::string m_ports;
};

bool ParseOptions(const Arguments& arguments,
                  CallerOptions* caller,
                  RawOptions* raw) {
  namespace options = boost::program_options;
  options::options_description description("caller");
  auto add = description.add_options();
  add("address", options::value(&caller->m_address)->required(),
      "IP address of this caller");
  add("fabric", options::value(&caller->m_fabric)->required(),
      "the fabric's endpoint for callers");
  add("service-address", options::value(&caller->m_service_address)->required(),
      "address of the service");
  add("seed", options::value(&caller->m_seed)->required(),
      "seed of the random numbers");
  add("openings-per-second",
      options::value(&caller->m_openings_per_second)->required(),
      "mean number of flows opened per second");
  add("duration-ms", options::value(&raw->m_duration_ms)->required(),
      "time during which flows are opened");
  add("flows", options::value(&caller->m_maximum_flows),
      "maximum number of flows; 0: unlimited");
  add("kind", options::value(&raw->m_kind)->required(),
      "short, declaration, pull, feed or mix");
  add("service-time-ms", options::value(&raw->m_service_time_ms),
      "mean service time");
  add("answer-bytes", options::value(&caller->m_requests.m_answer_bytes),
      "body bytes of an answer");
  add("feed-interval-ms", options::value(&raw->m_feed_interval_ms),
      "time between the events of a feed");
  add("upload-interval-ms", options::value(&raw->m_upload_interval_ms),
      "time between the uploads of a feed's reader; 0: none");
  add("deadline-ms", options::value(&raw->m_deadline_ms),
      "time until an answer must have begun");
  add("silence-ms", options::value(&raw->m_silence_ms),
      "time without progress until a flow counts as silent");
  add("ports", options::value(&raw->m_ports),
      "LOW-HIGH: range of source ports; a freed port is reused at once");
  add("retry-not-run", options::value(&caller->m_retries_not_run),
      "maximum number of retries of a refused request");
  return ParseArguments(description, arguments);
}

// Parses "LOW-HIGH". ParseEndpoint checks that each port fits 16 bits.
bool ParsePorts(const std::string& text, CallerOptions* caller) {
  const std::size_t dash = text.find('-');
  if (dash == std::string::npos)
    return false;
  const auto low = base::ParseEndpoint("0.0.0.0:" + text.substr(0, dash));
  const auto high = base::ParseEndpoint("0.0.0.0:" + text.substr(dash + 1));
  if (!low || !high || low->m_port == 0 || low->m_port > high->m_port)
    return false;
  caller->m_low_port = low->m_port;
  caller->m_high_port = high->m_port;
  caller->m_port_reuse = PortReuse::kShortestFree;
  return true;
}

bool Convert(const RawOptions& raw, CallerOptions* caller) {
  using std::chrono::milliseconds;
  caller->m_duration = milliseconds(raw.m_duration_ms);
  caller->m_deadline = milliseconds(raw.m_deadline_ms);
  caller->m_silence = milliseconds(raw.m_silence_ms);
  caller->m_upload_interval = milliseconds(raw.m_upload_interval_ms);
  caller->m_requests.m_mean_service_time = milliseconds(raw.m_service_time_ms);
  caller->m_requests.m_feed_interval = milliseconds(raw.m_feed_interval_ms);
  caller->m_requests.m_kind = base::ValueOf(kRequestKindNames, raw.m_kind);
  caller->m_requests.m_id_prefix = static_cast<std::uint32_t>(
      base::CombineHashes(caller->m_address.value(), caller->m_seed));
  if (!caller->m_requests.m_kind && raw.m_kind != kMix)
    return false;
  if (caller->m_requests.m_answer_bytes > kMaximumAnswerBytes)
    return false;
  return raw.m_ports.empty() || ParsePorts(raw.m_ports, caller);
}

}  // namespace

int RunCaller(const Arguments& arguments) {
  CallerOptions options;
  RawOptions raw;
  if (!ParseOptions(arguments, &options, &raw))
    return EXIT_FAILURE;
  if (!Convert(raw, &options))
    return FailToStart("invalid value of --kind, --answer-bytes or --ports");

  EventLoop loop;
  Caller caller(&loop, options, &PrintLine);
  if (const auto opened = caller.Open(); !opened)
    return FailToStart(opened.error().message());
  PrintLine(caller.ListeningLine());
  LineCommands commands;
  caller.AddCommands(&commands);
  const CommandInput input(&loop, &commands);
  caller.Start();
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace stand_ins
