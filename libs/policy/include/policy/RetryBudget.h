#ifndef KNAPWEEDLOFT_POLICY_RETRYBUDGET_H
#define KNAPWEEDLOFT_POLICY_RETRYBUDGET_H

namespace knapweedloft::policy {

/// Limits the retries on one edge of the call graph to a share of its first
/// attempts: each first attempt deposits a fraction of a token, each retry
/// takes a whole one. Needs no clock. Not thread-safe.
///
/// \code
///   Budget.deposit();        // with each first attempt
///   if (Budget.tryTake())    // before each retry
///     send();
/// \endcode
class RetryBudget {
public:
  struct Options {
    double m_Ratio = 0.1;    ///< Retries per first attempt.
    double m_MaxTokens = 10; ///< Maximum burst of retries.
  };

  /// \throws PolicyError if the ratio or the maximum is negative.
  explicit RetryBudget(const Options &Settings);

  void deposit();
  [[nodiscard]] bool tryTake();
  [[nodiscard]] double tokens() const { return m_Tokens; }

private:
  Options m_Settings;
  double m_Tokens = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RETRYBUDGET_H
