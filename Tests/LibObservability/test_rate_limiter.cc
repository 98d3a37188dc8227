#include <doctest/doctest.h>

#include "LibObservability/rate_limiter.h"

using observability::Event;
using observability::RateLimiter;
using std::chrono::seconds;

TEST_CASE("the first lines of a window are admitted, the rest are counted") {
  RateLimiter limiter({.m_lines_per_window = 2, .m_window = seconds(10)});
  const base::TimePoint start;

  CHECK(limiter.Admit(Event::kPeerMessageRefused, "licence", start));
  CHECK(limiter.Admit(Event::kPeerMessageRefused, "licence", start));
  CHECK_FALSE(limiter.Admit(Event::kPeerMessageRefused, "licence", start));
  CHECK_FALSE(limiter.Admit(Event::kPeerMessageRefused, "licence", start));
  CHECK(limiter.Admit(Event::kPeerMessageRefused, "dossier", start));
  CHECK(limiter.CollectSummaries(start + seconds(9)).empty());
  const auto summaries = limiter.CollectSummaries(start + seconds(10));

  REQUIRE(summaries.size() == 1);
  CHECK(summaries[0].m_key == "licence");
  CHECK(summaries[0].m_suppressed == 2);
  CHECK(limiter.Admit(Event::kPeerMessageRefused, "licence",
                      start + seconds(10)));
}

TEST_CASE("a new window keeps a suppressed count that was not yet reported") {
  RateLimiter limiter({.m_lines_per_window = 1, .m_window = seconds(10)});
  const base::TimePoint start;

  limiter.Admit(Event::kPeerMessageRefused, "", start);
  limiter.Admit(Event::kPeerMessageRefused, "", start);
  CHECK(limiter.Admit(Event::kPeerMessageRefused, "", start + seconds(10)));
  const auto summaries = limiter.CollectSummaries(start + seconds(20));

  REQUIRE(summaries.size() == 1);
  CHECK(summaries[0].m_suppressed == 1);
}

TEST_CASE("keys beyond the bound share one entry") {
  RateLimiter limiter({.m_lines_per_window = 1, .m_max_keys = 1});
  const base::TimePoint start;

  CHECK(limiter.Admit(Event::kPeerMessageRefused, "a", start));
  CHECK(limiter.Admit(Event::kPeerMessageRefused, "b", start));
  CHECK_FALSE(limiter.Admit(Event::kPeerMessageRefused, "c", start));
}
