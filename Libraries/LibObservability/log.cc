#include "LibObservability/log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <iostream>
#include <string>

namespace observability {

namespace {

namespace boost_log = boost::log;
using SinkBackend = boost_log::sinks::text_ostream_backend;
using Sink = boost_log::sinks::synchronous_sink<SinkBackend>;

std::atomic<bool> g_started = false;
std::atomic<Severity> g_threshold = Severity::kInfo;

std::ostream& StreamOf(LogDestination destination) {
  return destination == LogDestination::kStandardOutput ? std::cout : std::cerr;
}

void WriteRecord(const std::string& line) {
  boost_log::sources::logger logger;
  boost_log::record record = logger.open_record();
  if (!record)
    return;
  boost_log::record_ostream stream(record);
  stream << line;
  stream.flush();
  logger.push_record(std::move(record));
}

}  // namespace

void StartLog(LogDestination destination, Severity threshold) {
  auto backend = boost::make_shared<SinkBackend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&StreamOf(destination),
                                                      boost::null_deleter()));
  backend->auto_flush(true);
  boost_log::core::get()->remove_all_sinks();
  boost_log::core::get()->add_sink(boost::make_shared<Sink>(backend));
  g_threshold = threshold;
  g_started = true;
}

void WriteLog(Severity severity,
              Event event,
              const std::vector<LogField>& fields) {
  if (!g_started || severity < g_threshold)
    return;
  const auto now = std::chrono::system_clock::now();
  try {
    WriteRecord(FormatLogLine(now, severity, event, fields));
  } catch (const std::exception&) {
    // A log line that cannot be written is lost; the process continues.
  }
}

}  // namespace observability
