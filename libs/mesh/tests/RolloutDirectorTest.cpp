#include "mesh/RolloutDirector.h"

#include "telemetry/EventLog.h"

#include "gtest/gtest.h"

namespace knapweedloft::mesh {
namespace {

constexpr absl::Duration Tick = absl::Milliseconds(50);

class RolloutDirectorTest : public ::testing::Test {
protected:
  RolloutDirector::Options options() {
    RolloutDirector::Options Options;
    Options.m_Self = {.m_Name = "d-1", .m_Service = "other"};
    Options.m_Id = {.m_Offset = 1, .m_TargetVersion = "v2"};
    Options.m_Order = {.m_Service = "archive",
                       .m_TargetVersion = "v2",
                       .m_Received = m_Now,
                       .m_Duration = absl::Seconds(14)};
    Options.m_Hooks.m_Peers = [this](absl::Time) {
      ++m_PeerReads;
      return std::optional<std::vector<RolloutPeer>>();
    };
    return Options;
  }

  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  absl::Time m_Now = absl::FromUnixSeconds(1'000'000);
  int m_PeerReads = 0;
};

/// A daemon that may not decide hears no outcome; how often it looks at its
/// peers must not depend on how often it wakes up.
TEST_F(RolloutDirectorTest, Tick_MayNotDecide_LooksAtPeersAtIntervals) {
  RolloutDirector Director(options(), ComponentLog(m_Log, "rollout"), m_Now);
  constexpr int Ticks = 20 * 20;
  for (int Step = 0; Step < Ticks; ++Step)
    Director.tick(m_Now += Tick);
  EXPECT_GE(m_PeerReads, 1);
  EXPECT_LE(m_PeerReads, 11);
}

} // namespace
} // namespace knapweedloft::mesh
