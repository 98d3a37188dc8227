#include "StandIns/request_source.h"

#include <algorithm>
#include <cmath>

namespace stand_ins {

namespace {

// Fractions of the request kinds in a mix; the remaining requests are feeds.
constexpr double kShareOfShort = 0.5;
constexpr double kShareOfDeclarations = 0.3;
constexpr double kShareOfPulls = 0.1;
constexpr int kIdPrefixShift = 32;
constexpr double kMaximumServiceTimeUs = 3.6e9;

}  // namespace

double DrawExponential(base::Random* random, double mean) {
  return -mean * std::log1p(-random->Unit());
}

Request RequestSource::Next(base::Random* random) {
  Request request;
  request.m_id = RequestId(
      (std::uint64_t{m_options.m_id_prefix} << kIdPrefixShift) | m_next++);
  request.m_kind = NextKind(random);
  if (request.m_kind == RequestKind::kFeed) {
    request.m_feed_interval = m_options.m_feed_interval;
    return request;
  }
  const std::chrono::duration<double, std::micro> mean =
      m_options.m_mean_service_time;
  const double service_time_us =
      std::min(DrawExponential(random, mean.count()), kMaximumServiceTimeUs);
  request.m_service_time =
      std::chrono::microseconds(static_cast<std::int64_t>(service_time_us));
  request.m_answer_bytes = m_options.m_answer_bytes;
  if (request.m_kind != RequestKind::kPull)
    request.m_answer_bytes =
        std::min(request.m_answer_bytes, kSmallAnswerBytes);
  return request;
}

RequestKind RequestSource::NextKind(base::Random* random) const {
  if (m_options.m_kind)
    return *m_options.m_kind;
  double draw = random->Unit();
  if (draw < kShareOfShort)
    return RequestKind::kShort;
  draw -= kShareOfShort;
  if (draw < kShareOfDeclarations)
    return RequestKind::kDeclaration;
  draw -= kShareOfDeclarations;
  return draw < kShareOfPulls ? RequestKind::kPull : RequestKind::kFeed;
}

}  // namespace stand_ins
