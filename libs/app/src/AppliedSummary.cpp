#include "app/AppliedSummary.h"

#include <algorithm>

namespace knapweedloft::app {
namespace {

/// The lower floor, since those above it have no names any more. Of named
/// daemons only, it is the offset of the furthest.
model::LogOffset commonFloor(const AppliedSummary &Left,
                             const AppliedSummary &Right,
                             const std::vector<AppliedOffset> &Named) {
  if (Left.m_Count == 0 && Right.m_Count == 0)
    return Named.back().m_Offset;
  if (Left.m_Count == 0)
    return Right.m_Floor;
  if (Right.m_Count == 0)
    return Left.m_Floor;
  return std::min(Left.m_Floor, Right.m_Floor);
}

} // namespace

AppliedSummary AppliedSummary::of(const AppliedOffset &One) {
  return {.m_Behind = {One}};
}

void AppliedSummary::merge(const AppliedSummary &Other, std::size_t MaxNamed) {
  std::vector<AppliedOffset> Named = m_Behind;
  Named.insert(Named.end(), Other.m_Behind.begin(), Other.m_Behind.end());
  if (Named.empty() && m_Count + Other.m_Count == 0)
    return;
  std::sort(Named.begin(), Named.end(),
            [](const AppliedOffset &Left, const AppliedOffset &Right) {
              return Left.m_Offset < Right.m_Offset;
            });
  m_Floor = commonFloor(*this, Other, Named);
  m_Count += Other.m_Count;
  while (!Named.empty() &&
         (Named.size() > MaxNamed || Named.back().m_Offset >= m_Floor)) {
    m_Floor = std::min(m_Floor, Named.back().m_Offset);
    Named.pop_back();
    ++m_Count;
  }
  m_Behind = std::move(Named);
}

std::size_t AppliedSummary::countAt(model::LogOffset Offset) const {
  std::size_t Count = m_Floor >= Offset ? m_Count : 0;
  for (const AppliedOffset &One : m_Behind)
    Count += One.m_Offset >= Offset ? 1 : 0;
  return Count;
}

std::vector<std::string> AppliedSummary::behind(model::LogOffset Offset) const {
  std::vector<std::string> Names;
  for (const AppliedOffset &One : m_Behind)
    if (One.m_Offset < Offset)
      Names.push_back(One.m_Name);
  return Names;
}

link::wire::AppliedReportsT AppliedSummary::toWire() const {
  link::wire::AppliedReportsT Reports;
  Reports.floor = m_Floor;
  Reports.count = static_cast<std::uint32_t>(m_Count);
  for (const AppliedOffset &One : m_Behind) {
    auto Report = std::make_unique<link::wire::AppliedReportT>();
    Report->name = One.m_Name;
    Report->incarnation = One.m_Incarnation;
    Report->offset = One.m_Offset;
    Reports.reports.push_back(std::move(Report));
  }
  return Reports;
}

AppliedSummary
AppliedSummary::fromWire(const link::wire::AppliedReportsT &Reports) {
  AppliedSummary Sum{.m_Floor = Reports.floor, .m_Count = Reports.count};
  for (const auto &Report : Reports.reports)
    Sum.m_Behind.push_back({Report->name, Report->incarnation, Report->offset});
  return Sum;
}

} // namespace knapweedloft::app
