#ifndef KNAPWEEDLOFT_POLICY_ATTEMPTBUDGET_H
#define KNAPWEEDLOFT_POLICY_ATTEMPTBUDGET_H

#include <cstdint>

namespace knapweedloft::policy {

/// The retries left to one request over all hops of its call chain. The share
/// passed to the next hop is deducted here, so that the sum never grows.
///
/// \code
///   AttemptBudget Left(AttemptBudget::PerRequest);
///   Wire.attempts_left = Left.takeForwardShare(); // with each forward
///   if (Left.tryTake())                           // before each retry
///     retry();
/// \endcode
class AttemptBudget {
public:
  /// Retries of a new request: halved at each hop, it leaves one to the fifth
  /// hop.
  static constexpr std::uint16_t PerRequest = 16;

  explicit AttemptBudget(std::uint16_t Retries) : m_Left(Retries) {}

  [[nodiscard]] std::uint16_t left() const { return m_Left; }

  /// Takes one retry.
  [[nodiscard]] bool tryTake();

  /// Takes the share to send with the next forward: half of what is left,
  /// rounded down, so that this hop can still retry.
  [[nodiscard]] std::uint16_t takeForwardShare();

  /// Returns retries that a downstream hop is known not to have used.
  void refund(std::uint16_t Retries);

private:
  std::uint16_t m_Left;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ATTEMPTBUDGET_H
