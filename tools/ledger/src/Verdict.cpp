#include "ledger/Verdict.h"

#include "fmt/format.h"

#include <algorithm>
#include <fstream>
#include <string_view>

namespace knapweedloft::ledger {
namespace {

constexpr std::string_view StartPrefix = "start ";
constexpr std::size_t MaxExamples = 10;

bool has(const CallRecord &Call, CallEnd End) {
  return std::find(Call.m_Ends.begin(), Call.m_Ends.end(), End) !=
         Call.m_Ends.end();
}

/// \returns whether the caller may conclude that the call never ran.
bool saysNotRun(const CallRecord &Call) {
  bool IsSaid = has(Call, CallEnd::NotRun);
  return IsSaid &&
         std::all_of(Call.m_Ends.begin(), Call.m_Ends.end(), [](CallEnd End) {
           return End == CallEnd::NotRun || End == CallEnd::NotSent;
         });
}

std::string describe(const CallRecord &Call, std::uint32_t Starts) {
  std::string Text = fmt::format("{} {} starts={} ends=", Call.m_Id,
                                 CallKindNames.nameOf(Call.m_Kind), Starts);
  for (CallEnd End : Call.m_Ends)
    Text += fmt::format("{},", CallEndNames.nameOf(End));
  return Text;
}

} // namespace

void TargetBook::read(const std::string &Path) {
  std::ifstream File(Path);
  std::string Line;
  while (std::getline(File, Line)) {
    if (Line.compare(0, StartPrefix.size(), StartPrefix) == 0)
      ++m_Starts[Line.substr(StartPrefix.size())];
    else
      ++m_KeysSeen;
  }
}

Verdict join(const std::vector<CallRecord> &Calls, const TargetBook &Targets) {
  Verdict Joined;
  Joined.m_KeysSeen = Targets.m_KeysSeen;
  for (const CallRecord &Call : Calls) {
    auto Found = Targets.m_Starts.find(Call.m_Id);
    std::uint32_t Starts = Found == Targets.m_Starts.end() ? 0 : Found->second;
    ++Joined.m_Calls;
    Joined.m_Starts += Starts;
    Joined.m_Sendings += Call.m_Ends.size();
    for (CallEnd End : Call.m_Ends)
      ++Joined.m_Ends[static_cast<std::size_t>(End)];
    bool IsDoubled = Starts > 1 && Call.m_Kind != CallKind::Idempotent;
    bool IsUnrun = Starts == 0 && has(Call, CallEnd::Whole);
    bool IsFalse = Starts > 0 && saysNotRun(Call);
    bool IsWrong = has(Call, CallEnd::Wrong);
    Joined.m_Doubled += IsDoubled ? 1 : 0;
    Joined.m_AnsweredUnrun += IsUnrun ? 1 : 0;
    Joined.m_FalseNotRun += IsFalse ? 1 : 0;
    Joined.m_Wrong += IsWrong ? 1 : 0;
    if ((IsDoubled || IsUnrun || IsFalse || IsWrong) &&
        Joined.m_Examples.size() < MaxExamples)
      Joined.m_Examples.push_back(describe(Call, Starts));
  }
  return Joined;
}

} // namespace knapweedloft::ledger
