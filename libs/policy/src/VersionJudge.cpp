#include "policy/VersionJudge.h"

#include "AnswerHistory.h"
#include "LatencyComparison.h"
#include "VersionComparison.h"

#include "absl/container/btree_map.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

namespace {

/// Cells at the end that are not compared yet: samples of their time are still
/// on the way.
constexpr std::int64_t OpenCells = 1;
/// Good targets may be this much slower than the usual one by themselves.
constexpr double MaxSlowness = 2;
/// Answers of one target on one route that tell how slow it is by itself.
constexpr double AnswersForSlowness = 4;
/// Share of slow answers from which the own slowness of a target is no excuse.
constexpr double MajorityShare = 0.5;
/// Difference of the shares of slow answers that counts: durations are known
/// by bucket only.
constexpr double MinSlowDifference = 0.1;
/// Likewise of requests that run for too long to those that ended.
constexpr double MinOverdueDifference = 0.05;
/// Requests that run for long count for samples no older than this.
constexpr absl::Duration OverdueLifetime = absl::Milliseconds(1500);
/// Span of the ended answers that overdue requests are held against.
constexpr std::int64_t OverdueCells = 8;

using Latencies = std::array<double, RouteCounts::BucketCount>;
using Cells = AnswerHistory::Cells;

std::size_t bucketsOf(double Factor) {
  return static_cast<std::size_t>(std::ceil(2 * std::log2(Factor)));
}

double sumOf(const Latencies &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), 0.0);
}

void addTo(Latencies &Sum, const Cells &Added) {
  for (const AnswerCell &Cell : Added) {
    for (std::size_t Bucket = 0; Bucket < Sum.size(); ++Bucket)
      Sum[Bucket] += static_cast<double>(Cell.m_Latencies[Bucket]);
  }
}

std::size_t quantileOf(const Latencies &Counts, double Quantile) {
  double Left = Quantile * sumOf(Counts);
  std::size_t Bucket = 0;
  while (Bucket + 1 < Counts.size() && Left > Counts[Bucket])
    Left -= Counts[Bucket++];
  return Bucket;
}

enum class Badness { Failed, Slow, MostlySlow };

/// The cells that are compared.
struct Range {
  std::int64_t m_First = 0;
  std::int64_t m_Last = 0;

  [[nodiscard]] std::size_t size() const {
    return static_cast<std::size_t>(
        std::max<std::int64_t>(0, m_Last - m_First + 1));
  }
  [[nodiscard]] bool has(const AnswerCell &Cell) const {
    return Cell.m_Cell >= m_First && Cell.m_Cell <= m_Last;
  }
};

void addFailures(AnswerSeries &Series, const Cells &Added,
                 const Range &Compared) {
  for (const AnswerCell &Cell : Added) {
    if (!Compared.has(Cell))
      continue;
    auto Index = static_cast<std::size_t>(Cell.m_Cell - Compared.m_First);
    Series.m_All[Index] += Cell.m_Answers;
    Series.m_Bad[Index] += Cell.m_Failures;
  }
}

/// Counts those from bucket \p Slow on as slow.
void addSlow(AnswerSeries &Series, const Cells &Added, const Range &Compared,
             std::size_t Slow) {
  for (const AnswerCell &Cell : Added) {
    if (!Compared.has(Cell))
      continue;
    auto Index = static_cast<std::size_t>(Cell.m_Cell - Compared.m_First);
    for (std::size_t Bucket = 0; Bucket < Cell.m_Latencies.size(); ++Bucket) {
      auto Count = static_cast<double>(Cell.m_Latencies[Bucket]);
      Series.m_All[Index] += Count;
      Series.m_Bad[Index] += Bucket >= Slow ? Count : 0;
    }
  }
}

} // namespace

class VersionJudge::Impl {
public:
  Impl(const Options &Settings, std::string NewVersion)
      : m_Settings(Settings), m_NewVersion(std::move(NewVersion)) {}

  void onSample(const RolloutSample &Sample, absl::Time Now);
  [[nodiscard]] Verdict judge(absl::Time Now, double Confidence) const;

private:
  using Finding = std::optional<VersionComparison::Finding>;

  /// Bounds of what is usual on a route, by bucket.
  struct Usual {
    std::size_t m_Quarter = 0;
    std::size_t m_Slow = 0;
  };

  struct NewTarget {
    SampleDifference m_Samples;
    AnswerHistory m_Answers;
  };

  struct Question {
    absl::btree_map<std::string, Usual> m_Routes; ///< Taken together.
    Badness m_Kind = Badness::Failed;
    Range m_Compared;
    double m_Confidence = 0;
  };

  [[nodiscard]] Verdict judgeRoutes(Question Asked) const;
  [[nodiscard]] Usual usualOf(const std::string &Route) const;
  [[nodiscard]] AnswerSeries seriesOf(const AnswerHistory &Answers,
                                      const Question &Asked,
                                      std::size_t OwnSlowness) const;
  [[nodiscard]] Finding compare(const Question &Asked) const;
  [[nodiscard]] Finding compareLatencies(const Question &Asked) const;
  [[nodiscard]] std::size_t ownSlowness(const AnswerHistory &Answers) const;
  [[nodiscard]] Finding compareOverdue(absl::Time Now, double Confidence,
                                       bool WithRunning) const;
  [[nodiscard]] static TargetAnswers overdueOf(const SampleDifference &Samples,
                                               absl::Time Now);
  [[nodiscard]] static Verdict verdict(const VersionComparison::Finding &Found,
                                       const std::string &Route,
                                       const std::string &Reason);

  Options m_Settings;
  std::string m_NewVersion;
  absl::btree_map<std::string, NewTarget> m_New; ///< By name of the daemon.
  absl::btree_map<std::string, SampleDifference> m_Former; ///< Likewise.
  AnswerHistory m_FormerAnswers; ///< Of all former targets together.
};

void VersionJudge::Impl::onSample(const RolloutSample &Sample, absl::Time Now) {
  if (Sample.m_Version.empty())
    return;
  absl::Time Oldest = Now - m_Settings.m_Window;
  if (Sample.m_Version != m_NewVersion) {
    m_Former[Sample.m_Daemon].onSample(Sample, Now, m_FormerAnswers);
    m_FormerAnswers.forget(Oldest);
    return;
  }
  NewTarget &Target = m_New[Sample.m_Daemon];
  Target.m_Samples.onSample(Sample, Now, Target.m_Answers);
  Target.m_Answers.forget(Oldest);
}

VersionJudge::Impl::Usual
VersionJudge::Impl::usualOf(const std::string &Route) const {
  Latencies Sum{};
  addTo(Sum, m_FormerAnswers.cellsOf(Route));
  return {.m_Quarter = quantileOf(Sum, 0.25),
          .m_Slow = quantileOf(Sum, 0.5) + bucketsOf(m_Settings.m_SlowFactor)};
}

/// How much slower a target is than usual by itself, in buckets: on all routes
/// together, by the faster quarter of its answers. Few answers say nothing; of
/// several targets the speeds are then as mixed as the former ones.
std::size_t
VersionJudge::Impl::ownSlowness(const AnswerHistory &Answers) const {
  std::size_t Most = bucketsOf(MaxSlowness);
  std::vector<double> Slower(Most + 1);
  for (const auto &[Route, Of] : Answers.routes()) {
    Latencies Own{};
    addTo(Own, Of);
    std::size_t Usual = usualOf(Route).m_Quarter;
    for (std::size_t Bucket = 0; Bucket < Own.size(); ++Bucket)
      Slower[std::min(Most, Bucket - std::min(Bucket, Usual))] += Own[Bucket];
  }
  double All = std::accumulate(Slower.begin(), Slower.end(), 0.0);
  if (All < AnswersForSlowness)
    return 0;
  std::size_t Own = 0;
  for (double Left = All / 4; Own < Most && Left > Slower[Own]; ++Own)
    Left -= Slower[Own];
  return Own;
}

AnswerSeries VersionJudge::Impl::seriesOf(const AnswerHistory &Answers,
                                          const Question &Asked,
                                          std::size_t OwnSlowness) const {
  AnswerSeries Series(Asked.m_Compared.size());
  for (const auto &[Route, Known] : Asked.m_Routes) {
    const Cells &Of = Answers.cellsOf(Route);
    if (Asked.m_Kind == Badness::Failed)
      addFailures(Series, Of, Asked.m_Compared);
    else
      addSlow(Series, Of, Asked.m_Compared, Known.m_Slow + OwnSlowness);
  }
  return Series;
}

VersionJudge::Impl::Finding
VersionJudge::Impl::compare(const Question &Asked) const {
  std::vector<AnswerSeries> Targets;
  for (const auto &[Daemon, Target] : m_New) {
    std::size_t Own =
        Asked.m_Kind == Badness::Slow ? ownSlowness(Target.m_Answers) : 0;
    Targets.push_back(seriesOf(Target.m_Answers, Asked, Own));
  }
  bool IsFailure = Asked.m_Kind == Badness::Failed;
  VersionComparison::Options Settings{
      .m_Confidence = Asked.m_Confidence,
      .m_MinDifference =
          IsFailure ? m_Settings.m_MinFailureShare : MinSlowDifference,
      .m_MinShare = Asked.m_Kind == Badness::MostlySlow ? MajorityShare : 0};
  AnswerSeries Former = seriesOf(m_FormerAnswers, Asked, 0);
  return VersionComparison(Settings, Former).findWorse(Targets);
}

TargetAnswers VersionJudge::Impl::overdueOf(const SampleDifference &Samples,
                                            absl::Time Now) {
  if (Now - Samples.lastAt() > OverdueLifetime || Samples.isCold(Now))
    return {};
  const RolloutSample &Last = Samples.last();
  return {.m_All =
              static_cast<double>(std::max(Last.m_Running, Last.m_Overdue)),
          .m_Bad = static_cast<double>(Last.m_Overdue)};
}

VersionJudge::Impl::Finding
VersionJudge::Impl::compareLatencies(const Question &Asked) const {
  if (Asked.m_Routes.size() > 1 || Asked.m_Compared.size() == 0)
    return std::nullopt;
  const std::string &Route = Asked.m_Routes.begin()->first;
  std::vector<const Cells *> Targets;
  for (const auto &[Daemon, Target] : m_New) {
    const Cells &Answers = Target.m_Answers.cellsOf(Route);
    if (!Answers.empty())
      Targets.push_back(&Answers);
  }
  LatencyComparison Comparison({.m_Confidence = Asked.m_Confidence,
                                .m_SlowFactor = m_Settings.m_SlowFactor},
                               m_FormerAnswers.cellsOf(Route),
                               Asked.m_Compared.m_First,
                               Asked.m_Compared.m_Last);
  auto Found = Comparison.findSlow(Targets);
  if (!Found)
    return std::nullopt;
  return VersionComparison::Finding{.m_All = Found->m_All,
                                    .m_Bad = Found->m_Bad};
}

/// Requests that run for too long, as a part of those that run or else of those
/// that ended lately. Both have to speak against the version: while it gets
/// more and more, too few have ended; where its targets are slow by themselves,
/// long ones are many of those that run.
VersionJudge::Impl::Finding
VersionJudge::Impl::compareOverdue(absl::Time Now, double Confidence,
                                   bool WithRunning) const {
  std::int64_t First = AnswerHistory::cellOf(Now) - OverdueCells + 1;
  TargetAnswers Former;
  for (const auto &[Daemon, Samples] : m_Former) {
    TargetAnswers Counts = overdueOf(Samples, Now);
    Former.m_All += WithRunning ? Counts.m_All : Counts.m_Bad;
    Former.m_Bad += Counts.m_Bad;
  }
  if (!WithRunning)
    Former.m_All += m_FormerAnswers.answersSince(First);
  if (Former.m_All <= 0)
    return std::nullopt;

  std::vector<TargetAnswers> Targets;
  for (const auto &[Daemon, Target] : m_New) {
    if (ownSlowness(Target.m_Answers) == bucketsOf(MaxSlowness))
      continue;
    TargetAnswers Counts = overdueOf(Target.m_Samples, Now);
    if (!WithRunning)
      Counts.m_All = Counts.m_Bad + Target.m_Answers.answersSince(First);
    Counts.m_Expected = Counts.m_All * Former.m_Bad / Former.m_All;
    if (Counts.m_All > 0)
      Targets.push_back(Counts);
  }
  VersionComparison::Options Settings{.m_Confidence = Confidence,
                                      .m_MinDifference =
                                          WithRunning ? MinSlowDifference
                                                      : MinOverdueDifference};
  return VersionComparison::testSums(Targets, Former.m_All, Settings);
}

VersionJudge::Verdict
VersionJudge::Impl::verdict(const VersionComparison::Finding &Found,
                            const std::string &Route,
                            const std::string &Reason) {
  return {.m_IsBad = true,
          .m_Answers = Found.m_All,
          .m_BadAnswers = Found.m_Bad,
          .m_Route = Route,
          .m_Reason = Reason};
}

VersionJudge::Verdict VersionJudge::Impl::judgeRoutes(Question Asked) const {
  static constexpr std::array<std::pair<Badness, const char *>, 3> Kinds = {
      {{Badness::Failed, "more failures than the former version"},
       {Badness::Slow, "more slow answers than the former version"},
       {Badness::MostlySlow, "most answers slow"}}};
  std::string Name =
      Asked.m_Routes.size() == 1 ? Asked.m_Routes.begin()->first : "";
  for (const auto &[Kind, Reason] : Kinds) {
    Asked.m_Kind = Kind;
    Finding Found =
        Kind == Badness::Slow ? compareLatencies(Asked) : compare(Asked);
    if (Found)
      return verdict(*Found, Name, Reason);
  }
  return {};
}
VersionJudge::Verdict VersionJudge::Impl::judge(absl::Time Now,
                                                double Confidence) const {
  Question All{.m_Compared = {.m_First = AnswerHistory::cellOf(
                                  Now - m_Settings.m_Window),
                              .m_Last = AnswerHistory::cellOf(Now) - OpenCells},
               .m_Confidence = Confidence};
  Verdict Good;
  for (const auto &[Daemon, Target] : m_New) {
    Good.m_Answers += static_cast<std::uint64_t>(
        Target.m_Answers.answersSince(All.m_Compared.m_First));
    for (const auto &[Route, Answers] : Target.m_Answers.routes())
      All.m_Routes.try_emplace(Route, usualOf(Route));
  }
  for (const auto &[Route, Known] : All.m_Routes) {
    Question One = All;
    One.m_Routes = {{Route, Known}};
    if (Verdict Next = judgeRoutes(One); Next.m_IsBad)
      return Next;
  }
  if (All.m_Routes.size() > 1) {
    if (Verdict Next = judgeRoutes(All); Next.m_IsBad)
      return Next;
  }
  Finding Overdue = compareOverdue(Now, Confidence, true);
  if (Overdue && compareOverdue(Now, Confidence, false))
    return verdict(*Overdue, "", "more requests that run for too long");
  return Good;
}

VersionJudge::VersionJudge(const Options &Settings, std::string NewVersion)
    : m_Impl(std::make_unique<Impl>(Settings, std::move(NewVersion))) {}

VersionJudge::~VersionJudge() = default;
VersionJudge::VersionJudge(VersionJudge &&) noexcept = default;
VersionJudge &VersionJudge::operator=(VersionJudge &&) noexcept = default;

void VersionJudge::onSample(const RolloutSample &Sample, absl::Time Now) {
  m_Impl->onSample(Sample, Now);
}

VersionJudge::Verdict VersionJudge::judge(absl::Time Now,
                                          double Confidence) const {
  return m_Impl->judge(Now, Confidence);
}

} // namespace knapweedloft::policy
