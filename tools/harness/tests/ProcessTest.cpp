#include "harness/Process.h"
#include "harness/HarnessError.h"

#include "gtest/gtest.h"

#include <csignal>

namespace knapweedloft::harness {
namespace {

Process shell(const std::string &Script) {
  return Process({"/bin/sh", "-c", Script});
}

TEST(ProcessTest, Wait_ExitCode_IsToldWithOutput) {
  Process Child = shell("echo out; echo err >&2; exit 3");
  EXPECT_EQ(Child.wait(), 3);
  EXPECT_EQ(Child.output(), "out\n");
  EXPECT_EQ(Child.errors(), "err\n");
}

TEST(ProcessTest, AwaitPort_Line_GivesNumber) {
  Process Child = shell("echo x >&2; echo listening port=81 >&2; read X");
  EXPECT_EQ(Child.awaitPort("listening"), 81);
}

TEST(ProcessTest, AwaitLine_EndsBefore_Throws) {
  Process Child = shell("echo other >&2");
  EXPECT_THROW((void)Child.awaitLine("listening"), HarnessError);
}

TEST(ProcessTest, Signal_Kill_IsInCode) {
  Process Child = shell("exec sleep 1000");
  EXPECT_TRUE(Child.isRunning());
  Child.signal(SIGKILL);
  EXPECT_EQ(Child.wait(), 128 + SIGKILL);
  EXPECT_FALSE(Child.isRunning());
}

TEST(ProcessTest, Start_NoProgram_Throws) {
  EXPECT_THROW(Process({"/no/such/program"}), HarnessError);
}

} // namespace
} // namespace knapweedloft::harness
