// Bounds the openings that are sent to a second server to a share of the
// openings received, so that retries cannot multiply an overload.

#ifndef LIBADMISSION_RETRY_BUDGET_H_
#define LIBADMISSION_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace admission {

struct RetryBudgetSettings {
  // Retries allowed for each opening received. With what may be saved up, the
  // openings sent in a minute of overload stay under 1.1 for each received.
  double m_retries_per_opening = 0.09;
  // Retries that may be saved up for a burst.
  double m_maximum_tokens = 10.0;
};

// Starts empty: at any time the retries spent are at most the share of the
// openings received.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings) : m_settings(settings) {}

  // Queries.
  bool CanSpend() const { return m_tokens >= kRetryCost; }
  double Tokens() const { return m_tokens; }

  // Commands.
  // Tokens above the new maximum are lost.
  void SetSettings(RetryBudgetSettings settings) {
    m_settings = settings;
    m_tokens = std::min(m_tokens, m_settings.m_maximum_tokens);
  }
  // Counts an opening received from a caller.
  void AddTokensForOpening() {
    m_tokens = std::min(m_tokens + m_settings.m_retries_per_opening,
                        m_settings.m_maximum_tokens);
  }
  // Takes the cost of one retry. Returns false and takes nothing if the budget
  // is exhausted.
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
