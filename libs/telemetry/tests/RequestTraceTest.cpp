#include "telemetry/RequestTrace.h"

#include "gtest/gtest.h"

#include <sstream>

namespace knapweedloft::telemetry {
namespace {

TEST(RequestTraceTest, Text_TwoProcesses_JoinsTheirLinesInOrder) {
  RequestTrace Trace("a1");
  std::istringstream Target("2026-12-03T22:35:42.200Z target: Ran. id=a1\n");
  std::istringstream Entry(
      "2026-12-03T22:35:42.100Z entry: Took. id=a1\n"
      "2026-12-03T22:35:42.150Z entry: Took. id=a12\n"
      "2026-12-03T22:35:42.300Z entry: Done. id=a1 s=200\n");
  std::istringstream Other("2026-12-03T22:35:42.100Z entry: Took. id=b2\n");
  Trace.read("d2", Target);
  Trace.read("d1", Entry);
  Trace.read("d3", Other);
  EXPECT_EQ(Trace.found(), 3U);
  EXPECT_EQ(Trace.text(),
            "2026-12-03T22:35:42.100Z d1 entry: Took. id=a1\n"
            "2026-12-03T22:35:42.200Z d2 target: Ran. id=a1\n"
            "2026-12-03T22:35:42.300Z d1 entry: Done. id=a1 s=200\n"
            "No line of it from: d3\n");
}

TEST(RequestTraceTest, Text_CollectedLog_NamesProcessesByTheirLines) {
  RequestTrace Trace("a1");
  std::istringstream All(
      "   0.118 vm-1 2026-12-03T22:35:42.100Z entry: Took. id=a1\n"
      "   0.119 vm-2 2026-12-03T22:35:42.101Z target: Ran. id=a1\n"
      "   0.120 vm-3 2026-12-03T22:35:42.102Z node: Ready.\n"
      "some other text id=a1\n");
  Trace.read("all.log", All);
  EXPECT_EQ(Trace.found(), 2U);
  EXPECT_NE(Trace.text().find("vm-2 target: Ran."), std::string::npos);
  EXPECT_NE(Trace.text().find("No line of it from: vm-3\n"), std::string::npos);
}

} // namespace
} // namespace knapweedloft::telemetry
