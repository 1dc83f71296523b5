#include "mesh/TargetLoadReports.h"

#include "mesh/ReportedLoad.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using Trust = policy::PaceFilter::Trust;

/// Between two lines about a report that is left out.
constexpr absl::Duration LogInterval = absl::Seconds(1);
/// Of an unreadable report, in a log line.
constexpr std::size_t MaxLoggedText = 32;

} // namespace

std::optional<std::uint32_t>
TargetLoadReports::onReport(const std::string &Text,
                            const std::string &Instance, absl::Time Now) {
  ReportedLoad Load = ReportedLoad::parse(Text);
  ++m_Counts.m_Reports;
  if (Load.m_HasBadSlots) {
    ++m_Counts.m_BadSlots;
    log("Ignored the slots that the target named.", Text, Instance, Now);
  }
  if (Load.m_HasBadPace) {
    ++m_Counts.m_BadPaces;
    log("Ignored the pace that the target named.", Text, Instance, Now);
  }
  if (Load.m_PacePercent)
    m_Filter.onReport(*Load.m_PacePercent, Now);
  noteTrust(Text, Instance, Now);
  return Load.m_Slots;
}

void TargetLoadReports::noteTrust(const std::string &Text,
                                  const std::string &Instance, absl::Time Now) {
  Trust Former = std::exchange(m_Trust, m_Filter.trust(Now));
  if (m_Trust == Former)
    return;
  if (m_Trust == Trust::Frozen) {
    ++m_Counts.m_Frozen;
    log("The target's pace is not used: it does not change any more.", Text,
        Instance, Now);
  } else if (m_Trust == Trust::Contradicted) {
    ++m_Counts.m_Contradicted;
    log("The target's pace is not used: measured runs contradict it.", Text,
        Instance, Now);
  } else if (m_Trust == Trust::Used) {
    log("The target's pace is used.", Text, Instance, Now);
  }
}

void TargetLoadReports::log(const char *Sentence, const std::string &Text,
                            const std::string &Instance, absl::Time Now) {
  if (Now < m_NextLog)
    return;
  m_NextLog = Now + LogInterval;
  m_Log.state(Sentence,
              {{"instance", Instance},
               {"text", Text.substr(0, MaxLoggedText)},
               {"pace", fmt::format("{:.2f}", m_Filter.pace({}, Now))},
               {"confirmed", fmt::format("{:.2f}", m_Filter.confirmedShare())},
               {"half_life", m_Filter.halfLife()}});
}

std::uint16_t TargetLoadReports::pacePercent(absl::Time Now) const {
  if (m_Filter.trust(Now) == Trust::Unnamed)
    return 0;
  constexpr double Max = std::numeric_limits<std::uint16_t>::max();
  double Percent = std::round(100 * m_Filter.pace({}, Now));
  return static_cast<std::uint16_t>(std::clamp(Percent, 1.0, Max));
}

} // namespace knapweedloft::mesh
