#ifndef KNAPWEEDLOFT_APP_RATEENTRY_H
#define KNAPWEEDLOFT_APP_RATEENTRY_H

#include "app/RateDecision.h"
#include "policy/GrantedTokens.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace knapweedloft::app {

/// A call that waits for a token.
struct WaitingCall {
  absl::Time m_Now; ///< When it began to wait.
  absl::Time m_Until;
  std::function<void(const RateDecision &)> m_Done;
};

/// What a daemon holds of one customer.
struct RateEntry {
  RateEntry(std::string Customer, std::uint32_t Shard,
            const policy::GrantedTokens::Options &Settings)
      : m_Customer(std::move(Customer)), m_Shard(Shard), m_Held(Settings) {}

  const std::string m_Customer;
  const std::uint32_t m_Shard;
  policy::GrantedTokens m_Held;
  /// The keeper had too few tokens; calls without one are refused until then.
  std::atomic<std::int64_t> m_DryUntilNanos{0};
  std::atomic<bool> m_IsKeeperAway{false}; ///< Why it is dry.
  /// Calls that may wait while dry, for tokens that are due soon.
  std::atomic<std::size_t> m_PatientCalls{0};
  std::atomic<bool> m_IsAskDue{false}; ///< Posted, or under way.
  absl::Mutex m_Mutex;
  std::deque<WaitingCall> m_Waiting ABSL_GUARDED_BY(m_Mutex);

  [[nodiscard]] absl::Time dryUntil() const {
    return absl::FromUnixNanos(m_DryUntilNanos.load(std::memory_order_relaxed));
  }
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RATEENTRY_H
