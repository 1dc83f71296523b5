#ifndef KNAPWEEDLOFT_POLICY_RATEKEEPER_H
#define KNAPWEEDLOFT_POLICY_RATEKEEPER_H

#include "policy/GrantLifetime.h"
#include "policy/TokenBucket.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::policy {

/// A daemon that holds tokens, in one of its lives. Chosen by the caller.
using HolderId = std::uint64_t;

/// What a holder says when it asks for tokens.
struct TokenAsk {
  std::uint64_t m_Sequence = 0; ///< Grows with each ask of a holder.
  double m_Needed = 0;          ///< Tokens for calls that wait now.
  double m_Wanted = 0;          ///< Tokens beyond these, ahead of demand.
  double m_Held = 0;            ///< Unspent tokens still held.
  double m_Spent = 0;           ///< Tokens spent in all.
};

struct TokenGrant {
  std::uint64_t m_Sequence = 0; ///< Of the ask that it answers.
  double m_Tokens = 0;          ///< Whole tokens; what was held lives on too.
  absl::Duration m_Lifetime;    ///< From before the holder asked.
  absl::Duration m_RetryAfter;  ///< When to ask again if too few were given.
};

/// The one bucket of a customer, whose tokens several daemons spend.
///
/// Invariant: level + tokens outstanding <= burst, where a token is
/// outstanding until its holder has reported it spent or no longer held, or
/// until it has lapsed. From this follows that over any window of length W at
/// most rate * W + burst tokens are spent, whoever spends them.
///
/// A holder has one ask under way and takes a grant only for the ask that it
/// waits for. What it holds as it sends an ask is therefore all that it can
/// still spend of earlier grants, also of those that were lost. Tokens
/// that it neither holds nor has spent go back to the bucket.
///
/// It is not thread-safe.
///
/// \code
///   RateKeeper Keeper({.m_RatePerSecond = 50, .m_Burst = 100}, {}, Started);
///   TokenGrant Given = Keeper.grant(Holder, Ask, Now);
/// \endcode
class RateKeeper {
public:
  /// \p Started is when the bucket began to fill, empty.
  /// \throws PolicyError if the rate or the burst is out of range.
  RateKeeper(const TokenBucket::Options &Limits, const GrantLifetime &Lifetime,
             absl::Time Started);

  /// Answers an ask. A repeated or overtaken one is answered with sequence 0,
  /// which no holder waits for.
  TokenGrant grant(HolderId Holder, const TokenAsk &Ask, absl::Time Now);

  void setLimits(const TokenBucket::Options &Limits, absl::Time Now);
  [[nodiscard]] const TokenBucket::Options &limits() const {
    return m_Bucket.limits();
  }

  /// Forgets holders whose tokens have all lapsed.
  void expire(absl::Time Now);

  [[nodiscard]] double level(absl::Time Now) const {
    return m_Bucket.level(Now);
  }
  [[nodiscard]] double outstanding() const { return m_Outstanding; }
  [[nodiscard]] std::size_t holderCount() const { return m_Holders.size(); }

  /// \returns whether the bucket is full and nothing is outstanding.
  [[nodiscard]] bool isIdle(absl::Time Now) const;

private:
  struct HolderState {
    std::uint64_t m_Sequence = 0;
    double m_Outstanding = 0;
    double m_Spent = 0;
    absl::Time m_Expires = absl::InfinitePast();
    bool m_IsShort = false; ///< Was last given less than it needed.
  };

  void settle(HolderState &State, const TokenAsk &Ask, absl::Time Now);
  void setShort(HolderState &State, bool IsShort);
  void setOutstanding(HolderState &State, double Tokens, absl::Time Now);
  [[nodiscard]] double tokensFor(const TokenAsk &Ask, absl::Time Now) const;
  [[nodiscard]] absl::Duration retryAfter(absl::Time Now) const;

  TokenBucket m_Bucket;
  GrantLifetime m_Lifetime;
  double m_Outstanding = 0;
  std::size_t m_ShortCount = 0;
  absl::Time m_NextExpiry = absl::InfiniteFuture(); ///< Or earlier.
  absl::flat_hash_map<HolderId, HolderState> m_Holders;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RATEKEEPER_H
