#include "AnswerHistory.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace knapweedloft::policy {

namespace {

bool isAtLeast(const RouteCounts &Next, const RouteCounts &Former) {
  return Next.m_Answers >= Former.m_Answers &&
         Next.m_Failures >= Former.m_Failures &&
         std::equal(Next.m_Latencies.begin(), Next.m_Latencies.end(),
                    Former.m_Latencies.begin(), std::greater_equal<>());
}

AnswerCell difference(const RouteCounts &Next, const RouteCounts &Former,
                      double Part, bool WithLatencies) {
  AnswerCell Cell;
  Cell.m_Answers =
      Part * static_cast<double>(Next.m_Answers - Former.m_Answers);
  Cell.m_Failures =
      Part * static_cast<double>(Next.m_Failures - Former.m_Failures);
  if (!WithLatencies)
    return Cell;
  for (std::size_t Bucket = 0; Bucket < RouteCounts::BucketCount; ++Bucket) {
    std::uint32_t More = Next.m_Latencies[Bucket] - Former.m_Latencies[Bucket];
    Cell.m_Latencies[Bucket] =
        static_cast<float>(Part) * static_cast<float>(More);
  }
  return Cell;
}

void addTo(AnswerCell &Sum, const AnswerCell &More) {
  Sum.m_Answers += More.m_Answers;
  Sum.m_Failures += More.m_Failures;
  for (std::size_t Bucket = 0; Bucket < RouteCounts::BucketCount; ++Bucket)
    Sum.m_Latencies[Bucket] += More.m_Latencies[Bucket];
}

} // namespace

std::int64_t AnswerHistory::cellOf(absl::Time At) {
  return absl::ToUnixMillis(At) / absl::ToInt64Milliseconds(CellWidth);
}

void AnswerHistory::add(const std::string &Route, const AnswerCell &More) {
  Cells &Of = m_Routes[Route];
  auto At = Of.end();
  while (At != Of.begin() && std::prev(At)->m_Cell >= More.m_Cell)
    --At;
  if (At != Of.end() && At->m_Cell == More.m_Cell)
    addTo(*At, More);
  else
    Of.insert(At, More);
}

void AnswerHistory::forget(absl::Time Before) {
  std::int64_t Oldest = cellOf(Before);
  for (auto &[Route, Of] : m_Routes) {
    while (!Of.empty() && Of.front().m_Cell < Oldest)
      Of.pop_front();
  }
}

const AnswerHistory::Cells &
AnswerHistory::cellsOf(const std::string &Route) const {
  static const Cells None;
  auto Found = m_Routes.find(Route);
  return Found == m_Routes.end() ? None : Found->second;
}

double AnswerHistory::answersSince(std::int64_t First) const {
  double Answers = 0;
  for (const auto &[Route, Of] : m_Routes) {
    for (auto Cell = Of.rbegin(); Cell != Of.rend(); ++Cell) {
      if (Cell->m_Cell < First)
        break;
      Answers += Cell->m_Answers;
    }
  }
  return Answers;
}

bool SampleDifference::continues(const RolloutSample &Sample,
                                 absl::Time Now) const {
  return Sample.m_Incarnation == m_Last.m_Incarnation &&
         Sample.m_Instance == m_Last.m_Instance && Now - m_LastAt <= MaxSpan;
}

const RouteCounts *SampleDifference::lastOf(const std::string &Route) const {
  auto Found = std::find_if(
      m_Last.m_Routes.begin(), m_Last.m_Routes.end(),
      [&Route](const RouteCounts &Counts) { return Counts.m_Route == Route; });
  return Found == m_Last.m_Routes.end() ? nullptr : &*Found;
}

void SampleDifference::add(const RouteCounts &Counts, absl::Time Now,
                           AnswerHistory &Into) const {
  static const RouteCounts Nothing;
  const RouteCounts *Former = lastOf(Counts.m_Route);
  if (!Former)
    Former = &Nothing;
  if (!isAtLeast(Counts, *Former) || Counts.m_Answers == Former->m_Answers)
    return;
  std::int64_t To = AnswerHistory::cellOf(Now);
  std::int64_t From = std::min(AnswerHistory::cellOf(m_LastAt) + 1, To);
  double Part = 1 / static_cast<double>(To - From + 1);
  AnswerCell More = difference(Counts, *Former, Part, !isCold(Now));
  for (std::int64_t Cell = From; Cell <= To; ++Cell) {
    More.m_Cell = Cell;
    Into.add(Counts.m_Route, More);
  }
}

void SampleDifference::addTotals(const RolloutSample &Sample, absl::Time Now,
                                 AnswerHistory &Into) {
  static const RouteCounts Nothing;
  for (const RouteCounts &Counts : Sample.m_Routes) {
    AnswerCell Total = difference(Counts, Nothing, 1, false);
    Total.m_Cell = AnswerHistory::cellOf(Now);
    Into.add(Counts.m_Route, Total);
  }
}

void SampleDifference::onSample(const RolloutSample &Sample, absl::Time Now,
                                AnswerHistory &Into) {
  if (Sample.m_IsCold)
    m_ColdUntil = Now + ColdAftermath;
  if (m_LastAt == absl::InfinitePast())
    addTotals(Sample, Now, Into);
  else if (continues(Sample, Now)) {
    for (const RouteCounts &Counts : Sample.m_Routes)
      add(Counts, Now, Into);
  }
  m_Last = Sample;
  m_LastAt = Now;
}

} // namespace knapweedloft::policy
