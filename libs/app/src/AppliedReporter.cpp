#include "AppliedReporter.h"

#include <utility>

namespace knapweedloft::app {

void AppliedReporter::onChild(const std::string &Name, AppliedSummary Sum,
                              absl::Time Now) {
  if (Sum.m_Count == 0 && Sum.m_Behind.empty())
    m_Children.erase(Name);
  else
    m_Children[Name] = {std::move(Sum), Now};
}

void AppliedReporter::onSite(const std::string &DataCenter, AppliedSummary Sum,
                             absl::Time Now) {
  m_Sites[DataCenter] = {std::move(Sum), Now};
}

void AppliedReporter::onFleet(AppliedSummary Sum, absl::Time Now) {
  m_Fleet = {std::move(Sum), Now};
}

AppliedSummary AppliedReporter::subtree(const AppliedOffset &Own,
                                        absl::Time Now) {
  AppliedSummary Sum = AppliedSummary::of(Own);
  merge(Sum, m_Children, Now);
  return Sum;
}

AppliedSummary AppliedReporter::fleet(const AppliedOffset &Own, bool IsHead,
                                      absl::Time Now) {
  if (!IsHead && Now < m_Fleet.m_At + m_KeptFor)
    return m_Fleet.m_Sum;
  AppliedSummary Sum = subtree(Own, Now);
  merge(Sum, m_Sites, Now);
  return Sum;
}

std::vector<std::string> AppliedReporter::children() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Child] : m_Children)
    Names.push_back(Name);
  return Names;
}

void AppliedReporter::merge(AppliedSummary &Into, Dateds &From,
                            absl::Time Now) {
  absl::erase_if(From, [&](const auto &One) {
    return One.second.m_At + m_KeptFor <= Now;
  });
  for (const auto &[Name, One] : From)
    Into.merge(One.m_Sum, m_MaxNamed);
}

} // namespace knapweedloft::app
