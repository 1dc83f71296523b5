#include "policy/RateLedger.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::policy {
namespace {

const std::string Customer = "acme";

/// Daemons in virtual time that tell each other what they have taken, with a
/// delay, unless they are cut off from each other.
class RateLedgerTest : public testing::Test {
protected:
  static constexpr absl::Duration Step = absl::Milliseconds(10);
  static constexpr absl::Duration Delay = absl::Milliseconds(10);

  struct Word {
    absl::Time m_Due;
    std::size_t m_From;
    std::size_t m_To;
    RateLedger::Spent m_Spent;
  };

  /// Two daemons that will be linked.
  struct Linking {
    absl::Time m_Due;
    std::size_t m_One;
    std::size_t m_Other;
  };

  struct Result {
    std::uint64_t m_Asked = 0;
    std::vector<absl::Time> m_Granted;
  };

  void start(std::size_t Count, const RateLedger::Rate &Limit) {
    m_Limit = Limit;
    m_Daemons.clear();
    for (std::size_t Index = 0; Index < Count; ++Index) {
      m_Daemons.push_back(std::make_unique<RateLedger>(RateLedger::Options{}));
      m_Daemons.back()->setRate(Customer, Limit, m_Now);
      m_Starts[Index] = m_Now;
    }
    for (std::size_t One = 0; One < Count; ++One)
      for (std::size_t Other = 0; Other < Count; ++Other)
        if (One != Other)
          hear(One, Other, true);
    for (auto &Daemon : m_Daemons)
      Daemon->onMembersKnown(m_Now, m_Engine);
  }

  void hear(std::size_t At, std::size_t From, bool IsHeard) {
    m_Daemons[At]->onDaemon(std::to_string(From), IsHeard, m_Now);
    for (const RateLedger::Spent &Spent : m_Daemons[From]->all())
      if (IsHeard)
        m_Daemons[At]->onSpent(teller(From), Spent.m_Customer, Spent.m_Total,
                               m_Now);
  }

  [[nodiscard]] RateLedger::Teller teller(std::size_t Daemon) {
    return {.m_Name = std::to_string(Daemon),
            .m_Incarnation = m_Incarnations[Daemon] + 1,
            .m_Started = m_Starts[Daemon]};
  }

  void cut(std::size_t Daemon) {
    m_Cut[Daemon] = true;
    for (std::size_t Other = 0; Other < m_Daemons.size(); ++Other)
      if (Other != Daemon) {
        m_Daemons[Other]->onDaemon(std::to_string(Daemon), false, m_Now);
        m_Daemons[Daemon]->onDaemon(std::to_string(Other), false, m_Now);
      }
  }

  void restart(std::size_t Daemon) {
    ++m_Incarnations[Daemon];
    m_Daemons[Daemon] = std::make_unique<RateLedger>(RateLedger::Options{});
    m_Daemons[Daemon]->setRate(Customer, m_Limit, m_Now);
    m_Starts[Daemon] = m_Now;
    for (std::size_t Other = 0; Other < m_Daemons.size(); ++Other)
      if (Other != Daemon) {
        hear(Daemon, Other, true);
        hear(Other, Daemon, true);
      }
    m_Daemons[Daemon]->onMembersKnown(m_Now, m_Engine);
  }

  /// Starts a daemon anew that knows nobody yet; each other is linked to it a
  /// while later.
  void restartApart(std::size_t Daemon, absl::Duration MostWait) {
    ++m_Incarnations[Daemon];
    m_Daemons[Daemon] = std::make_unique<RateLedger>(RateLedger::Options{});
    m_Daemons[Daemon]->setRate(Customer, m_Limit, m_Now);
    m_Starts[Daemon] = m_Now;
    std::uniform_real_distribution<double> Part(0, 1);
    for (std::size_t Other = 0; Other < m_Daemons.size(); ++Other) {
      if (Other == Daemon)
        continue;
      m_Daemons[Daemon]->onMember(std::to_string(Other), m_Now);
      if (areLinked(Daemon, Other))
        m_Links.push_back({m_Now + MostWait * Part(m_Engine), Daemon, Other});
    }
    m_Daemons[Daemon]->onMembersKnown(m_Now, m_Engine);
  }

  /// Runs for \p Span; \p RateAt gives what callers ask of each daemon a
  /// second.
  Result run(absl::Duration Span,
             const std::function<double(std::size_t)> &RateAt) {
    Result Seen;
    absl::Time End = m_Now + Span;
    while (m_Now < End) {
      m_Now += Step;
      deliver();
      link();
      for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index) {
        std::poisson_distribution<int> Arrivals(RateAt(Index) *
                                                absl::ToDoubleSeconds(Step));
        for (int Left = Arrivals(m_Engine); Left > 0; --Left) {
          ++Seen.m_Asked;
          if (m_Daemons[Index]->tryTake(Customer, m_Now))
            Seen.m_Granted.push_back(m_Now);
        }
        tell(Index);
      }
    }
    return Seen;
  }

  /// \returns the most grants in any window of \p Span.
  static std::size_t most(const std::vector<absl::Time> &Granted,
                          absl::Duration Span) {
    std::size_t Most = 0;
    std::size_t From = 0;
    for (std::size_t To = 0; To < Granted.size(); ++To) {
      while (Granted[To] - Granted[From] > Span)
        ++From;
      Most = std::max(Most, To - From + 1);
    }
    return Most;
  }

  /// What the users' rules allow in a window of 5 s: a tenth and 20 above the
  /// rate and the burst.
  [[nodiscard]] double allowed() const {
    return (m_Limit.m_PerSecond * 5 + m_Limit.m_Burst) * 1.1 + 20;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  RateLedger::Rate m_Limit;
  std::mt19937_64 m_Engine{7};
  std::vector<std::unique_ptr<RateLedger>> m_Daemons;
  std::map<std::size_t, std::uint64_t> m_Incarnations;
  std::map<std::size_t, absl::Time> m_Starts;
  std::map<std::size_t, bool> m_Cut;
  std::vector<Linking> m_Links;

private:
  void tell(std::size_t From) {
    if (!m_Daemons[From]->update(m_Now, m_Engine))
      return;
    for (const RateLedger::Spent &Spent : m_Daemons[From]->takeChanged())
      for (std::size_t To = 0; To < m_Daemons.size(); ++To)
        if (To != From && !m_Cut[From] && !m_Cut[To] && areLinked(From, To))
          m_Words.push_back({m_Now + Delay, From, To, Spent});
  }

  void deliver() {
    while (!m_Words.empty() && m_Words.front().m_Due <= m_Now) {
      Word Next = m_Words.front();
      m_Words.pop_front();
      if (!m_Cut[Next.m_To])
        m_Daemons[Next.m_To]->onSpent(teller(Next.m_From),
                                      Next.m_Spent.m_Customer,
                                      Next.m_Spent.m_Total, m_Now);
    }
  }

  [[nodiscard]] bool areLinked(std::size_t One, std::size_t Other) const {
    return std::none_of(m_Links.begin(), m_Links.end(), [&](const auto &Next) {
      return std::pair(std::minmax(Next.m_One, Next.m_Other)) ==
             std::pair(std::minmax(One, Other));
    });
  }

  void link() {
    std::erase_if(m_Links, [this](const Linking &Next) {
      if (Next.m_Due > m_Now)
        return false;
      hear(Next.m_One, Next.m_Other, true);
      hear(Next.m_Other, Next.m_One, true);
      return true;
    });
  }

  std::deque<Word> m_Words;
};

TEST_F(RateLedgerTest, TryTake_NoRate_Grants) {
  RateLedger Ledger({});
  EXPECT_TRUE(Ledger.tryTake("unlimited", m_Now));
}

TEST_F(RateLedgerTest, TryTake_MembersNotKnown_GrantsNothing) {
  RateLedger Ledger({});
  Ledger.setRate(Customer, {.m_PerSecond = 100, .m_Burst = 100}, m_Now);
  EXPECT_FALSE(Ledger.tryTake(Customer, m_Now));
  EXPECT_LT(Ledger.waitFor(Customer, m_Now), absl::Seconds(1));
  Ledger.onMembersKnown(m_Now, m_Engine);
  EXPECT_TRUE(Ledger.tryTake(Customer, m_Now));
}

TEST_F(RateLedgerTest, TryTake_SmallCustomerInsideItsRate_IsHardlyRefused) {
  // 8.6 requests a second over 12 daemons: a daemon sees one now and then.
  start(12, {.m_PerSecond = 14, .m_Burst = 14});
  run(absl::Seconds(2), [](std::size_t) { return 8.6 / 12; });
  Result Seen = run(absl::Seconds(60), [](std::size_t) { return 8.6 / 12; });
  double Refused = static_cast<double>(Seen.m_Asked - Seen.m_Granted.size()) /
                   static_cast<double>(Seen.m_Asked);
  EXPECT_LT(Refused, 0.02);
}

TEST_F(RateLedgerTest, TryTake_DemandMovesBetweenDaemons_IsHardlyRefused) {
  start(12, {.m_PerSecond = 320, .m_Burst = 320});
  run(absl::Seconds(3), [](std::size_t At) { return At < 4 ? 50 : 0; });
  Result Seen =
      run(absl::Seconds(10), [](std::size_t At) { return At >= 8 ? 50 : 0; });
  double Refused = static_cast<double>(Seen.m_Asked - Seen.m_Granted.size()) /
                   static_cast<double>(Seen.m_Asked);
  EXPECT_LT(Refused, 0.05);
}

struct Hot {
  std::size_t m_Daemons;
  double m_PerSecond;
};

class HotCustomerTest : public RateLedgerTest,
                        public testing::WithParamInterface<Hot> {};

TEST_P(HotCustomerTest, TryTake_ManyTimesTheUsual_StaysWithinTheRules) {
  auto [Count, PerSecond] = GetParam();
  start(Count, {.m_PerSecond = PerSecond, .m_Burst = PerSecond});
  double Usual = PerSecond / 1.6 / static_cast<double>(Count);
  Result Calm = run(absl::Seconds(6), [&](std::size_t) { return Usual; });
  Result Seen =
      run(absl::Seconds(10), [&](std::size_t) { return 7.5 * Usual; });
  std::vector<absl::Time> All = Calm.m_Granted;
  All.insert(All.end(), Seen.m_Granted.begin(), Seen.m_Granted.end());
  EXPECT_LE(static_cast<double>(most(All, absl::Seconds(5))), allowed());
  // It gets what it may: 0.9 of the rate over the ten seconds.
  EXPECT_GE(static_cast<double>(Seen.m_Granted.size()), 9 * PerSecond);
}

TEST_P(HotCustomerTest, TryTake_OneDaemonCutOff_StaysWithinTheRules) {
  auto [Count, PerSecond] = GetParam();
  start(Count, {.m_PerSecond = PerSecond, .m_Burst = PerSecond});
  double Hot = 4 * PerSecond / static_cast<double>(Count);
  Result Before = run(absl::Seconds(6), [&](std::size_t) { return Hot; });
  cut(0);
  Result After = run(absl::Seconds(10), [&](std::size_t) { return Hot; });
  std::vector<absl::Time> All = Before.m_Granted;
  All.insert(All.end(), After.m_Granted.begin(), After.m_Granted.end());
  EXPECT_LE(static_cast<double>(most(All, absl::Seconds(5))), allowed());
}

TEST_P(HotCustomerTest, TryTake_AllRestarted_StaysWithinTheRules) {
  auto [Count, PerSecond] = GetParam();
  start(Count, {.m_PerSecond = PerSecond, .m_Burst = PerSecond});
  double Hot = 4 * PerSecond / static_cast<double>(Count);
  Result Before = run(absl::Seconds(6), [&](std::size_t) { return Hot; });
  m_Now += absl::Seconds(1);
  for (std::size_t Index = 0; Index < Count; ++Index)
    restart(Index);
  Result After = run(absl::Seconds(6), [&](std::size_t) { return Hot; });
  std::vector<absl::Time> All = Before.m_Granted;
  All.insert(All.end(), After.m_Granted.begin(), After.m_Granted.end());
  EXPECT_LE(static_cast<double>(most(All, absl::Seconds(5))), allowed());
}

TEST_P(HotCustomerTest, TryTake_AllRestartedAndLinkedLate_StaysWithinTheRules) {
  auto [Count, PerSecond] = GetParam();
  start(Count, {.m_PerSecond = PerSecond, .m_Burst = PerSecond});
  double Usual = PerSecond / 1.6 / static_cast<double>(Count);
  run(absl::Seconds(4), [&](std::size_t) { return Usual; });
  Result Before = run(absl::Seconds(4), [&](std::size_t) { return 8 * Usual; });
  m_Now += absl::Milliseconds(500);
  for (std::size_t Index = 0; Index < Count; ++Index)
    restartApart(Index, absl::Seconds(1));
  Result After = run(absl::Seconds(5), [&](std::size_t) { return 8 * Usual; });
  std::vector<absl::Time> All = Before.m_Granted;
  All.insert(All.end(), After.m_Granted.begin(), After.m_Granted.end());
  EXPECT_LE(static_cast<double>(most(All, absl::Seconds(5))), allowed());
}

INSTANTIATE_TEST_SUITE_P(Sites, HotCustomerTest,
                         testing::Values(Hot{12, 14}, Hot{13, 310}, Hot{62, 40},
                                         Hot{77, 12}, Hot{62, 400}));

TEST_F(RateLedgerTest, SetRate_Lowered_BindsAtOnce) {
  start(4, {.m_PerSecond = 100, .m_Burst = 100});
  run(absl::Seconds(4), [](std::size_t) { return 20; });
  m_Limit = {.m_PerSecond = 10, .m_Burst = 10};
  for (auto &Daemon : m_Daemons)
    Daemon->setRate(Customer, m_Limit, m_Now);
  Result Seen = run(absl::Seconds(5), [](std::size_t) { return 20; });
  EXPECT_LE(static_cast<double>(Seen.m_Granted.size()), allowed());
}

TEST_F(RateLedgerTest, PutBack_TokenOfARequestThatDidNotRun_IsThereAgain) {
  RateLedger Ledger({});
  Ledger.setRate(Customer, {.m_PerSecond = 1, .m_Burst = 4}, m_Now);
  Ledger.onMembersKnown(m_Now, m_Engine);
  ASSERT_TRUE(Ledger.tryTake(Customer, m_Now));
  EXPECT_FALSE(Ledger.tryTake(Customer, m_Now));
  Ledger.putBack(Customer, m_Now);
  EXPECT_TRUE(Ledger.tryTake(Customer, m_Now));
}

} // namespace
} // namespace knapweedloft::policy
