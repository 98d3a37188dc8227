// A token bucket: limits the rate of an operation and allows bursts of at most
// the tokens of one second.

#ifndef LIBFLOW_TOKEN_BUCKET_H_
#define LIBFLOW_TOKEN_BUCKET_H_

#include "LibBase/time.h"

namespace flow {

class TokenBucket {
 public:
  TokenBucket(double tokens_per_second, base::TimePoint now)
      : m_tokens_per_second(tokens_per_second),
        m_tokens(tokens_per_second),
        m_refilled(now) {}

  // Removes one token. Returns false if the bucket has less than one token.
  bool Take(base::TimePoint now);

 private:
  double m_tokens_per_second;
  double m_tokens;
  base::TimePoint m_refilled;
};

}  // namespace flow

#endif  // LIBFLOW_TOKEN_BUCKET_H_
