#include "policy/AttemptBudget.h"
#include "policy/RetryPolicy.h"

#include "gtest/gtest.h"

#include <array>
#include <random>

namespace knapweedloft::policy {
namespace {

constexpr std::size_t Hops = 5;
constexpr int FirstAttempts = 10000;
constexpr int MaxAttempts = 3;

/// A call chain in which every target calls the next service and the last one
/// fails.
class RetryChainTest : public testing::Test {
protected:
  static RetryPolicy::Options options(bool IsLimited) {
    return {.m_UseBudget = IsLimited,
            .m_StopOnDownstreamFailure = IsLimited,
            .m_MaxAttempts = MaxAttempts,
            .m_Budget = {},
            .m_Backoff = {}};
  }

  /// Calls the service of \p Hop, with retries; every call fails.
  void call(std::size_t Hop, std::uint16_t Retries, bool IsResend) {
    AttemptBudget Left(Retries);
    RetryPolicy &Edge = m_Edges[Hop];
    Edge.onFirstAttempt(IsResend);
    for (int Attempt = 1;; ++Attempt) {
      ++m_Calls[Hop];
      bool HasNextHop = Hop + 1 < Hops;
      std::uint16_t Share = m_IsLimited ? Left.takeForwardShare() : Retries;
      if (HasNextHop)
        call(Hop + 1, Share, IsResend || Attempt > 1);
      RetryContext Failure{
          .m_Ran = model::Ran::Yes,
          .m_IsIdempotent = true,
          .m_IsDownstreamFailure = HasNextHop && m_IsCauseKnown,
          .m_IsResend = IsResend,
          .m_AttemptsLeft = m_IsLimited ? Left.left() : Retries,
          .m_Attempt = Attempt};
      if (!Edge.decide(Failure, m_Random, m_Now).m_IsRetry)
        return;
      if (m_IsLimited)
        (void)Left.tryTake();
    }
  }

  double callsPerRequestAtLastHop(bool IsLimited) {
    m_IsLimited = IsLimited;
    m_Edges.assign(Hops, RetryPolicy(options(IsLimited)));
    m_Calls.fill(0);
    int Requests = IsLimited ? FirstAttempts : 10;
    for (int Request = 0; Request < Requests; ++Request)
      call(0, AttemptBudget::PerRequest, false);
    return static_cast<double>(m_Calls[Hops - 1]) / Requests;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  bool m_IsLimited = true;
  bool m_IsCauseKnown = true;
  std::vector<RetryPolicy> m_Edges;
  std::array<int, Hops> m_Calls{};
};

TEST_F(RetryChainTest, Call_NoLimits_MultipliesByAttemptsOfEachHop) {
  EXPECT_EQ(callsPerRequestAtLastHop(false), 243);
}

TEST_F(RetryChainTest, Call_EveryCallFails_LastHopGetsAtMostTenPercentMore) {
  double Load = callsPerRequestAtLastHop(true);
  RecordProperty("load", std::to_string(Load));
  EXPECT_LE(Load, 1.1);
  EXPECT_GT(Load, 1.0);
}

TEST_F(RetryChainTest, Call_TargetsHideCause_LastHopGetsAtMostHalfMore) {
  m_IsCauseKnown = false;
  double Load = callsPerRequestAtLastHop(true);
  RecordProperty("load", std::to_string(Load));
  EXPECT_LE(Load, 1.5);
}

} // namespace
} // namespace knapweedloft::policy
