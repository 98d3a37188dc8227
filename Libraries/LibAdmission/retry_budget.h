// Token bucket that limits the openings sent to another server to a share of
// the openings received, so that retries cannot amplify an overload.

#ifndef LIBADMISSION_RETRY_BUDGET_H_
#define LIBADMISSION_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace admission {

struct RetryBudgetSettings {
  // Together with the maximum tokens, this keeps the openings sent in a minute
  // of overload below 1.1 for each opening received.
  double m_retries_per_opening = 0.09;
  // Maximum number of retries in a burst.
  double m_maximum_tokens = 10.0;
};

// The bucket starts empty, so that at any time the number of retries is at most
// m_retries_per_opening times the number of openings received.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings) : m_settings(settings) {}

  // Queries.
  bool CanSpend() const { return m_tokens >= kRetryCost; }
  double Tokens() const { return m_tokens; }

  // Commands.
  // Discards tokens above the new maximum.
  void SetSettings(RetryBudgetSettings settings) {
    m_settings = settings;
    m_tokens = std::min(m_tokens, m_settings.m_maximum_tokens);
  }
  // Adds the tokens for one opening received from a caller.
  void AddTokensForOpening() {
    m_tokens = std::min(m_tokens + m_settings.m_retries_per_opening,
                        m_settings.m_maximum_tokens);
  }
  // Removes the tokens for one retry. Returns false and removes none if the
  // bucket has fewer.
  [[nodiscard]] bool TrySpend() {
    if (!CanSpend())
      return false;
    m_tokens -= kRetryCost;
    return true;
  }

 private:
  static constexpr double kRetryCost = 1.0;

  RetryBudgetSettings m_settings;
  double m_tokens = 0.0;
};

}  // namespace admission

#endif  // LIBADMISSION_RETRY_BUDGET_H_
