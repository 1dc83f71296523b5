#include "mesh/LeaveReports.h"

#include "fmt/format.h"

#include <cmath>

namespace knapweedloft::mesh {
namespace {

/// Smallest change of the share that is logged.
constexpr double LoggedShareChange = 0.1;

std::string describe(const policy::DataCenterRoom &Room) {
  return fmt::format("{:.0f}/{:.0f}", Room.m_Requests, Room.m_Slots);
}

} // namespace

void LeaveReports::onSent(const std::string &Service, bool IsLeaving) {
  Counts &Known = m_ByService[Service];
  ++(IsLeaving ? Known.m_Left : Known.m_Stayed);
}

void LeaveReports::onAnswered(const std::string &Service, bool HasLeft,
                              std::size_t Bytes) {
  if (HasLeft)
    m_ByService[Service].m_LeftBytes += Bytes;
}

void LeaveReports::onDecision(const std::string &Service,
                              const policy::TargetChooser::Leaving &Decided) {
  Counts &Known = m_ByService[Service];
  Known.m_Share = Decided.m_Share;
  bool IsBackToNone = Decided.m_Share == 0 && Known.m_LoggedShare != 0;
  if (!IsBackToNone &&
      std::abs(Known.m_Share - Known.m_LoggedShare) < LoggedShareChange)
    return;
  Known.m_LoggedShare = Known.m_Share;
  std::string Others;
  for (const policy::DataCenterRoom &Room : Decided.m_Others)
    Others += fmt::format("{}{}:{}", Others.empty() ? "" : ",", Room.m_Name,
                          describe(Room));
  m_Log.state("The share that leaves the data center changed.",
              {{"service", Service},
               {"share", fmt::format("{:.2f}", Decided.m_Share)},
               {"gain", Decided.m_Gain},
               {"home", describe(Decided.m_Home)},
               {"others", Others},
               {"age", Decided.m_Home.m_NewsAge}});
}

} // namespace knapweedloft::mesh
