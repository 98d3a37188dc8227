// Generates the random requests of a stand-in caller.

#ifndef STANDINS_REQUEST_SOURCE_H_
#define STANDINS_REQUEST_SOURCE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "LibBase/random.h"
#include "StandIns/request_message.h"

namespace stand_ins {

struct RequestSourceOptions {
  // nullopt: a mix of all kinds.
  std::optional<RequestKind> m_kind;
  std::chrono::milliseconds m_mean_service_time{};
  std::uint32_t m_answer_bytes = 0;
  std::chrono::milliseconds m_feed_interval{};
  // Distinguishes the request ids of one caller from those of others.
  std::uint32_t m_id_prefix = 0;
};

class RequestSource {
 public:
  explicit RequestSource(const RequestSourceOptions& options)
      : m_options(options) {}

  // Returns the next request, with an exponentially distributed service time; a
  // feed has no service time. The answers to short requests and declarations
  // have at most kSmallAnswerBytes bytes.
  Request Next(base::Random* random);

 private:
  static constexpr std::uint32_t kSmallAnswerBytes = 1024;

  RequestKind NextKind(base::Random* random) const;

  RequestSourceOptions m_options;
  std::uint32_t m_next = 1;
};

// Draws from the exponential distribution with the given mean.
double DrawExponential(base::Random* random, double mean);

}  // namespace stand_ins

#endif  // STANDINS_REQUEST_SOURCE_H_
