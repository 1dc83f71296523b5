#include "mesh/PeerLinks.h"

#include "telemetry/EventLog.h"

#include "gtest/gtest.h"

#include <string>
#include <string_view>

namespace knapweedloft::mesh {
namespace {

class PeerLinksTest : public testing::Test {
protected:
  static constexpr link::PeerHandle First{1};
  static constexpr link::PeerHandle Second{2};

  static model::Member peer(model::Incarnation Incarnation) {
    return {.m_Name = "peer", .m_Incarnation = Incarnation};
  }

  void hear(link::PeerHandle From, std::uint64_t Sequence,
            const std::string &Instance, bool IsOpen) {
    wire::TargetNewsT News;
    News.sequence = Sequence;
    News.service = std::string("orders");
    News.instance = Instance;
    News.is_open = IsOpen;
    m_Peers.onTargetState(From, News);
  }

  static PeerLinks::Options options() {
    PeerLinks::Options Options;
    Options.m_Self.m_Name = "self";
    Options.m_Hooks.m_Connect = [](const model::Endpoint &) {};
    Options.m_Hooks.m_Close = [](link::PeerHandle) {};
    Options.m_Hooks.m_Random = [] { return 0.5; };
    return Options;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  PeerLinks m_Peers{options(), ComponentLog(m_Log, "link")};
};

// A daemon that starts again learns from it which instance is its target.
TEST_F(PeerLinksTest, RememberedTarget_DaemonStartsAgain_IsTheLastOpenOne) {
  m_Peers.onUp(First, peer(1), m_Now);
  EXPECT_EQ(m_Peers.rememberedTarget(First).m_Instance, "");
  hear(First, 1, "a", true);
  hear(First, 2, "b", false);
  m_Peers.onUp(Second, peer(2), m_Now);
  EXPECT_EQ(m_Peers.rememberedTarget(Second).m_Instance, "a");
  EXPECT_EQ(m_Peers.rememberedTarget(Second).m_Service, "orders");
}

} // namespace
} // namespace knapweedloft::mesh
