#include "soak/Soak.h"

#include "gtest/gtest.h"

#include <filesystem>
#include <string>
#include <unistd.h>

namespace knapweedloft::soak {
namespace {

/// A short soak of the daemon as it was built beside this program. Bounds of
/// time are not checked: the machine may be busy.
TEST(SoakTest, Run_SeedOne_NoPromiseIsBroken) {
  SoakOptions Settings;
  Settings.m_Seed = 1;
  Settings.m_Length = absl::Seconds(8);
  Settings.m_Calm = absl::Seconds(4);
  Settings.m_ChecksTimes = false;
  Settings.m_Program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() /
      "knapweedloft";
  Settings.m_Directory = ::testing::TempDir() + "/knapweedloft-soak-test-" +
                         std::to_string(::getpid());
  std::filesystem::create_directories(Settings.m_Directory);
  std::string Breaches;
  Soak Run(Settings, [&](const std::string &Line) { Breaches += Line + "\n"; });
  Soak::Figures Seen = Run.run();
  std::filesystem::remove_all(Settings.m_Directory);
  EXPECT_EQ(Seen.m_Breaches, 0U) << Breaches;
  EXPECT_GT(Seen.m_Succeeded, 100U);
  EXPECT_GT(Seen.m_Faults, 3U);
}

} // namespace
} // namespace knapweedloft::soak
