#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

#include "LibObservability/non_blocking_log.h"

namespace observability {

namespace {

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(m_ends.data()) == 0);
    fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(m_ends[0]);
    close(m_ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int WriteEnd() const { return m_ends[1]; }
  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> bytes{};
    ssize_t length = 0;
    while ((length = read(m_ends[0], bytes.data(), bytes.size())) > 0)
      text.append(bytes.data(), static_cast<std::size_t>(length));
    return text;
  }

 private:
  std::array<int, 2> m_ends{};
};

}  // namespace

TEST_CASE("buffered lines are written by the next Flush") {
  const Pipe pipe;
  NonBlockingLog log(pipe.WriteEnd(), 10);
  log.Write(Severity::kInfo, Event::kReady, {{"servers", 3}});
  CHECK(pipe.ReadAll().empty());

  log.Flush();

  const std::string text = pipe.ReadAll();
  CHECK(text.ends_with("\"event\":\"ready\",\"servers\":3}\n"));
}

TEST_CASE("when the reader stops, lines are dropped and Write does not block") {
  const Pipe pipe;
  NonBlockingLog log(pipe.WriteEnd(), 10);

  const std::string text(1000, 'x');
  for (int i = 0; i < 1000; ++i)
    log.Write(Severity::kInfo, Event::kReady, {{"text", text}});
  log.Flush();
  CHECK(log.DroppedLines() > 0);

  pipe.ReadAll();
  log.WriteSummaries(At(2000));
  log.Flush();
  CHECK(pipe.ReadAll().find("log_lines_dropped") != std::string::npos);
}

TEST_CASE("lines of an event over its rate limit are counted in a summary") {
  const Pipe pipe;
  NonBlockingLog log(pipe.WriteEnd(), 2);
  int admitted = 0;
  for (int i = 0; i < 10; ++i)
    admitted += log.Admit(Event::kOpeningPlaced, At(i)) ? 1 : 0;
  CHECK(admitted == 2);

  log.WriteSummaries(At(1500));
  log.Flush();

  const std::string text = pipe.ReadAll();
  CHECK(text.find("\"of\":\"opening_placed\",\"lines\":8") !=
        std::string::npos);
}

TEST_CASE("a line longer than one write is dropped and counted") {
  const Pipe pipe;
  NonBlockingLog log(pipe.WriteEnd(), 2);
  const std::string text(kMaxLogTextBytes, 'x');
  log.Write(Severity::kInfo, Event::kReady,
            {{"a", text}, {"b", text}, {"c", text}});

  CHECK(log.DroppedLines() == 1);
}

}  // namespace observability
