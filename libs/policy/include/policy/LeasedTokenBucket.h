#ifndef KNAPWEEDLOFT_POLICY_LEASEDTOKENBUCKET_H
#define KNAPWEEDLOFT_POLICY_LEASEDTOKENBUCKET_H

#include "policy/GrantLifetime.h"
#include "policy/TokenBucket.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::policy {

/// Identifies one incarnation of a daemon that holds granted tokens. Assigned
/// by the caller.
using GranteeId = std::uint64_t;

/// A grantee's request for tokens.
struct TokenRequest {
  std::uint64_t m_Sequence = 0; ///< Increases with each request of a grantee.
  double m_Needed = 0;          ///< Tokens for calls that are waiting.
  double m_Wanted = 0;          ///< Further tokens, ahead of demand.
  double m_Held = 0;            ///< Unspent tokens still held.
  double m_Spent = 0;           ///< Total of tokens spent.
};

struct TokenGrant {
  std::uint64_t m_Sequence = 0; ///< Of the request that it answers.
  double m_Tokens = 0;          ///< Whole number; extends held tokens too.
  absl::Duration m_Lifetime;    ///< From before the grantee sent its request.
  absl::Duration m_RetryAfter;  ///< If too few were granted.
};

/// The single token bucket of a customer, kept by the lease holder of its
/// shard, whose tokens several daemons (the grantees) spend.
///
/// Invariant: level + tokens outstanding <= burst, where a token is
/// outstanding until its grantee has reported it spent or no longer held, or
/// until it has expired. It follows that over any window of length W at most
/// rate * W + burst tokens are spent, by all grantees together.
///
/// A grantee has one request pending and accepts only the grant that answers
/// it. What it holds when it sends a request is therefore all that it can still
/// spend of earlier grants, including those lost in transit. Tokens that it
/// neither holds nor has spent return to the bucket.
///
/// Not thread-safe.
///
/// \code
///   TokenBucket::Options Limits{.m_RatePerSecond = 50, .m_Burst = 100};
///   LeasedTokenBucket Bucket(Limits, {}, Started);
///   TokenGrant Grant = Bucket.grant(Grantee, Request, Now);
/// \endcode
class LeasedTokenBucket {
public:
  /// The bucket is empty at \p Started and fills from then on.
  /// \throws PolicyError if the rate or the burst is out of range.
  LeasedTokenBucket(const TokenBucket::Options &Limits,
                    const GrantLifetime &Lifetime, absl::Time Started);

  /// Answers a request. A duplicate or outdated one is answered with sequence
  /// 0, which no grantee waits for.
  TokenGrant grant(GranteeId Grantee, const TokenRequest &Request,
                   absl::Time Now);

  void setLimits(const TokenBucket::Options &Limits, absl::Time Now);
  [[nodiscard]] const TokenBucket::Options &limits() const {
    return m_Bucket.limits();
  }

  /// Drops grantees whose tokens have all expired.
  void expire(absl::Time Now);

  [[nodiscard]] double level(absl::Time Now) const {
    return m_Bucket.level(Now);
  }
  [[nodiscard]] double outstanding() const { return m_Outstanding; }
  [[nodiscard]] std::size_t granteeCount() const { return m_Grantees.size(); }

  /// \returns whether the bucket is full and nothing is outstanding.
  [[nodiscard]] bool isIdle(absl::Time Now) const;

private:
  struct GranteeState {
    std::uint64_t m_Sequence = 0;
    double m_Outstanding = 0;
    double m_Spent = 0;
    absl::Time m_Expires = absl::InfinitePast();
    bool m_IsUnderserved = false; ///< Last grant was below m_Needed.
  };

  void settle(GranteeState &State, const TokenRequest &Request, absl::Time Now);
  void setUnderserved(GranteeState &State, bool IsUnderserved);
  void setOutstanding(GranteeState &State, double Tokens, absl::Time Now);
  [[nodiscard]] double tokensFor(const TokenRequest &Request,
                                 absl::Time Now) const;
  [[nodiscard]] absl::Duration retryAfter(absl::Time Now) const;

  TokenBucket m_Bucket;
  GrantLifetime m_Lifetime;
  double m_Outstanding = 0;
  std::size_t m_UnderservedCount = 0;
  absl::Time m_NextExpiry = absl::InfiniteFuture(); ///< Lower bound.
  absl::flat_hash_map<GranteeId, GranteeState> m_Grantees;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LEASEDTOKENBUCKET_H
