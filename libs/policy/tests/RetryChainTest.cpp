#include "policy/AttemptBudget.h"
#include "policy/RetryPolicy.h"

#include "gtest/gtest.h"

#include <array>
#include <random>

namespace knapweedloft::policy {
namespace {

constexpr std::size_t Hops = 5;
constexpr int FirstAttempts = 10000;
constexpr int TriesWanted = 3;

/// A chain in which every target calls the next service and the deepest fails.
class RetryChainTest : public testing::Test {
protected:
  static RetryPolicy::Options options(bool IsBounded) {
    return {.m_UseBudget = IsBounded,
            .m_UseFromBelow = IsBounded,
            .m_MaxAttempts = TriesWanted,
            .m_Budget = {},
            .m_Backoff = {}};
  }

  /// Calls the service of a hop, with retries; every call fails.
  void call(std::size_t Hop, std::uint16_t Retries, bool IsResend) {
    AttemptBudget Left(Retries);
    RetryPolicy &Edge = m_Edges[Hop];
    Edge.onFirstAttempt(IsResend);
    for (int Attempt = 1;; ++Attempt) {
      ++m_Calls[Hop];
      bool HasBelow = Hop + 1 < Hops;
      std::uint16_t Share = m_IsBounded ? Left.handOver() : Retries;
      if (HasBelow)
        call(Hop + 1, Share, IsResend || Attempt > 1);
      RetryContext Failure{.m_Ran = model::Ran::Yes,
                           .m_IsIdempotent = true,
                           .m_IsFromBelow = HasBelow && m_IsCauseKnown,
                           .m_IsResend = IsResend,
                           .m_AttemptsLeft =
                               m_IsBounded ? Left.left() : Retries,
                           .m_Attempt = Attempt};
      if (!Edge.decide(Failure, m_Random, m_Now).m_IsRetry)
        return;
      if (m_IsBounded)
        (void)Left.tryTake();
    }
  }

  double loadOfDeepest(bool IsBounded) {
    m_IsBounded = IsBounded;
    m_Edges.assign(Hops, RetryPolicy(options(IsBounded)));
    m_Calls.fill(0);
    int Requests = IsBounded ? FirstAttempts : 10;
    for (int Request = 0; Request < Requests; ++Request)
      call(0, AttemptBudget::OfRequest, false);
    return static_cast<double>(m_Calls[Hops - 1]) / Requests;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  bool m_IsBounded = true;
  bool m_IsCauseKnown = true;
  std::vector<RetryPolicy> m_Edges;
  std::array<int, Hops> m_Calls{};
};

TEST_F(RetryChainTest, Call_NoBounds_MultipliesByTriesOfEachHop) {
  EXPECT_EQ(loadOfDeepest(false), 243);
}

TEST_F(RetryChainTest, Call_EveryTargetFails_DeepestGetsAtMostATenthMore) {
  double Load = loadOfDeepest(true);
  RecordProperty("load", std::to_string(Load));
  EXPECT_LE(Load, 1.1);
  EXPECT_GT(Load, 1.0);
}

TEST_F(RetryChainTest, Call_CauseHiddenByTargets_StaysBelowHalfMore) {
  m_IsCauseKnown = false;
  double Load = loadOfDeepest(true);
  RecordProperty("load", std::to_string(Load));
  EXPECT_LE(Load, 1.5);
}

} // namespace
} // namespace knapweedloft::policy
