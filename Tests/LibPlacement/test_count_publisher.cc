#include <doctest/doctest.h>

#include <chrono>

#include "LibPlacement/count_publisher.h"

using namespace std::chrono_literals;
using namespace placement;

namespace {

constexpr base::TimePoint kNow{1h};

}  // namespace

TEST_CASE("a change is published at once, the next after the interval") {
  CountPublisher publisher{CountPublisherSettings{}};
  CHECK_FALSE(publisher.NextDue());

  publisher.RecordChange(kNow);
  CHECK(publisher.NextDue() == kNow);

  publisher.RecordPublished(1, kNow);
  publisher.RecordChange(kNow + 10ms);
  CHECK(publisher.NextDue() == kNow + 50ms);
}

TEST_CASE("counts are published again without a change") {
  CountPublisher publisher{CountPublisherSettings{}};
  publisher.RecordPublished(1, kNow);

  CHECK(publisher.NextDue() == kNow + 1s);
}

TEST_CASE("constant change keeps to the budget of bytes") {
  const CountPublisherSettings settings;
  constexpr std::size_t kMessageBytes = 500;
  CountPublisher publisher{settings};

  std::size_t bytes = 0;
  for (base::TimePoint now = kNow; now < kNow + 60s; now += 1ms) {
    publisher.RecordChange(now);
    if (now < publisher.NextDue())
      continue;
    publisher.RecordPublished(kMessageBytes, now);
    bytes += kMessageBytes;
  }

  CHECK(bytes <= 60 * settings.m_bytes_per_second + settings.m_burst_bytes +
                     kMessageBytes);
  CHECK(bytes >= 0.9 * 60 * settings.m_bytes_per_second);
}
