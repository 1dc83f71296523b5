#include "bench/ProcessCost.h"

#include "fmt/format.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace knapweedloft::bench {
namespace {

/// Fields of /proc/PID/stat after the name in brackets.
constexpr int FieldsBeforeTimes = 11;

absl::Duration processorTimeOf(pid_t Process) {
  std::ifstream File(fmt::format("/proc/{}/stat", Process));
  std::string Line;
  std::getline(File, Line);
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  for (int Index = 0; Index < FieldsBeforeTimes; ++Index)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return absl::Seconds((User + System) /
                       static_cast<double>(sysconf(_SC_CLK_TCK)));
}

std::uint64_t residentKilobytesOf(pid_t Process) {
  std::ifstream File(fmt::format("/proc/{}/status", Process));
  std::string Word;
  std::uint64_t Kilobytes = 0;
  while (File >> Word)
    if (Word == "VmRSS:")
      File >> Kilobytes;
  return Kilobytes;
}

} // namespace

ProcessCost costOf(pid_t Process) {
  return {.m_ProcessorTime = processorTimeOf(Process),
          .m_ResidentKilobytes = residentKilobytesOf(Process)};
}

} // namespace knapweedloft::bench
