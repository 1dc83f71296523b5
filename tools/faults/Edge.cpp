#include "Edge.h"

namespace knapweedloft::faults {
namespace {

policy::TargetChooser::Options chooserOptions(const Mechanisms &InUse,
                                              std::size_t DataCenter,
                                              std::uint64_t Seed) {
  return {.m_Region = "region",
          .m_DataCenter = std::to_string(DataCenter),
          .m_Seed = Seed,
          .m_SubsetSize = 20,
          .m_UseLocality = InUse.has(Mechanism::Locality),
          .m_UseFeedback = InUse.has(Mechanism::Feedback),
          .m_UseEjection = InUse.has(Mechanism::Ejection)};
}

policy::RetryPolicy::Options retryOptions(const Mechanisms &InUse) {
  return {.m_UseBudget = InUse.has(Mechanism::RetryBudget),
          .m_StopOnDownstreamFailure = InUse.has(Mechanism::FromBelow),
          .m_MaxAttempts = 3,
          .m_Budget = {},
          .m_Backoff = {}};
}

} // namespace

Edge::Edge(const Mechanisms &InUse, std::size_t DataCenter, std::uint64_t Seed)
    : m_Chooser(chooserOptions(InUse, DataCenter, Seed)),
      m_Early({.m_IsEnabled = InUse.has(Mechanism::EarlyRefusal)}),
      m_Retries(retryOptions(InUse)) {}

} // namespace knapweedloft::faults
