#include "mesh/RequestQuarantine.h"

#include "telemetry/EventLog.h"

#include "gtest/gtest.h"

#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using model::Fingerprint;
using policy::RequestStanding;

constexpr Fingerprint Poison = 0x500;

class RequestQuarantineTest : public ::testing::Test {
protected:
  struct Write {
    std::string m_Value;
    std::function<void(bool, absl::Time)> m_OnDone;
  };

  RequestQuarantine::Options options() {
    RequestQuarantine::Options Options;
    Options.m_Self = {.m_Name = "self", .m_Incarnation = 1};
    Options.m_Hooks.m_Broadcast = [this](const wire::SuspectsT &Message) {
      m_Broadcasts.push_back(Message);
    };
    Options.m_Hooks.m_Send = [this](link::PeerHandle,
                                    const wire::SuspectsT &Message) {
      m_SentOnLinkUp.push_back(Message);
    };
    Options.m_Hooks.m_WriteRecord =
        [this](std::string Value,
               std::function<void(bool, absl::Time)> OnDone) {
          m_Writes.push_back({std::move(Value), std::move(OnDone)});
        };
    return Options;
  }

  RequestQuarantine make() {
    return {options(), ComponentLog(m_Log, "quarantine")};
  }

  void crash(RequestQuarantine &At,
             std::vector<Fingerprint> InFlight = {Poison}) {
    At.onTargetCrash("i-1", InFlight, m_Now);
    m_Now += absl::Seconds(1);
    m_Wall += absl::Seconds(1);
  }

  RequestStanding standing(const RequestQuarantine &At) const {
    return At.judge(Poison, m_Now).m_Standing;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  absl::Time m_Wall = absl::FromUnixSeconds(1'700'000'000);
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  std::vector<wire::SuspectsT> m_Broadcasts;
  std::vector<wire::SuspectsT> m_SentOnLinkUp;
  std::vector<Write> m_Writes;
  RequestQuarantine m_Quarantine = make();
};

// Guards against a daemon that ends by itself when its target has an odd id.
TEST_F(RequestQuarantineTest, Tick_InstanceIsNoUtf8_RecordIsStillWritten) {
  m_Quarantine.onRecordsRead();
  m_Quarantine.onTargetCrash("i-\xff\xfe", std::vector{Poison}, m_Now);
  m_Quarantine.tick(m_Now, m_Wall);
  ASSERT_EQ(m_Writes.size(), 1U);
  RequestQuarantine Peer = make();
  Peer.onRecord({.m_Key = "other", .m_Value = m_Writes[0].m_Value}, m_Now,
                m_Wall);
  EXPECT_EQ(Peer.judge(Poison, m_Now).m_Crashes, 1U);
}

TEST_F(RequestQuarantineTest, OnTargetCrash_ReportReachesPeer_CountsThere) {
  RequestQuarantine Peer = make();
  for (int Count = 0; Count < 3; ++Count)
    crash(m_Quarantine);
  for (const wire::SuspectsT &Message : std::exchange(m_Broadcasts, {}))
    Peer.onMessage(Message, m_Now);
  EXPECT_EQ(standing(Peer), RequestStanding::Quarantined);
  EXPECT_EQ(Peer.describeCrashes(Poison, m_Now).substr(0, 8), "self/i-1");
}

TEST_F(RequestQuarantineTest, Tick_RecordsNotReadYet_DoesNotWrite) {
  crash(m_Quarantine);
  m_Quarantine.tick(m_Now, m_Wall);
  EXPECT_TRUE(m_Writes.empty());
  m_Quarantine.onRecordsRead();
  m_Quarantine.tick(m_Now, m_Wall);
  EXPECT_EQ(m_Writes.size(), 1U);
}

TEST_F(RequestQuarantineTest, Tick_WriteFails_IsRepeatedAfterDelay) {
  m_Quarantine.onRecordsRead();
  crash(m_Quarantine);
  m_Quarantine.tick(m_Now, m_Wall);
  m_Writes[0].m_OnDone(false, m_Now);
  m_Quarantine.tick(m_Now, m_Wall);
  EXPECT_EQ(m_Writes.size(), 1U);
  m_Now += absl::Seconds(1);
  m_Quarantine.tick(m_Now, m_Wall);
  EXPECT_EQ(m_Writes.size(), 2U);
}

TEST_F(RequestQuarantineTest, OnRecord_AfterRestart_RestoresOwnReports) {
  m_Quarantine.onRecordsRead();
  for (int Count = 0; Count < 3; ++Count)
    crash(m_Quarantine);
  m_Quarantine.tick(m_Now, m_Wall);
  ASSERT_EQ(m_Writes.size(), 1U);
  RequestQuarantine Restarted = make();
  Restarted.onRecord({.m_Key = "self", .m_Value = m_Writes[0].m_Value}, m_Now,
                     m_Wall);
  EXPECT_EQ(standing(Restarted), RequestStanding::Quarantined);
  EXPECT_EQ(Restarted.judge(Poison, m_Now).m_Until,
            m_Quarantine.judge(Poison, m_Now).m_Until);
}

TEST_F(RequestQuarantineTest, OnRecord_LateWriteUndoesNewer_IsWrittenAgain) {
  m_Quarantine.onRecordsRead();
  crash(m_Quarantine);
  m_Quarantine.tick(m_Now, m_Wall);
  crash(m_Quarantine);
  m_Writes[0].m_OnDone(true, m_Now);
  m_Quarantine.tick(m_Now, m_Wall);
  m_Writes[1].m_OnDone(true, m_Now);
  m_Quarantine.onRecord(
      {.m_Key = "self", .m_Value = m_Writes[1].m_Value, .m_Offset = 1}, m_Now,
      m_Wall);
  m_Quarantine.tick(m_Now, m_Wall);
  EXPECT_EQ(m_Writes.size(), 2U);
  m_Quarantine.onRecord(
      {.m_Key = "self", .m_Value = m_Writes[0].m_Value, .m_Offset = 2}, m_Now,
      m_Wall);
  m_Quarantine.tick(m_Now, m_Wall);
  EXPECT_EQ(m_Writes.size(), 3U);
}

TEST_F(RequestQuarantineTest, OnRecord_Unreadable_IsSkipped) {
  for (const char *Value : {"", "{", "[]", R"({"crashes":[1],"completed":[]})",
                            R"({"crashes":[{"incarnation":"x"}]})"})
    m_Quarantine.onRecord({.m_Key = "peer", .m_Value = Value}, m_Now, m_Wall);
  EXPECT_EQ(m_Quarantine.evidence().crashes(), 0U);
}

TEST_F(RequestQuarantineTest, OnLinkUp_RestartedPeer_GetsItsReportsBack) {
  RequestQuarantine Peer = make();
  crash(m_Quarantine);
  wire::SuspectsT FromPeer = m_Broadcasts.back();
  FromPeer.crashes[0]->daemon = "peer";
  m_Quarantine.onMessage(FromPeer, m_Now);
  m_Quarantine.onLinkUp({}, "peer", m_Now);
  ASSERT_EQ(m_SentOnLinkUp.size(), 1U);
  EXPECT_EQ(m_SentOnLinkUp[0].crashes.size(), 2U);
}

TEST_F(RequestQuarantineTest, OnLinkUp_NothingKnown_SendsNothing) {
  m_Quarantine.onCompleted(Poison, m_Now);
  m_Quarantine.onLinkUp({}, "peer", m_Now);
  EXPECT_TRUE(m_SentOnLinkUp.empty());
  EXPECT_TRUE(m_Broadcasts.empty());
}

TEST_F(RequestQuarantineTest, OnMessage_ForgedAges_AreBounded) {
  crash(m_Quarantine);
  wire::SuspectsT Forged = m_Broadcasts.back();
  Forged.crashes[0]->daemon = "peer";
  Forged.crashes[0]->age_us = UINT64_MAX;
  m_Quarantine.onMessage(Forged, m_Now);
  EXPECT_EQ(m_Quarantine.evidence().crashes(), 1U);
}

TEST_F(RequestQuarantineTest, Release_NoCrashCounts_ReturnsFalse) {
  EXPECT_FALSE(m_Quarantine.release(Poison, m_Now));
  crash(m_Quarantine);
  EXPECT_TRUE(m_Quarantine.release(Poison, m_Now));
  EXPECT_FALSE(m_Quarantine.release(Poison, m_Now));
}

} // namespace
} // namespace knapweedloft::mesh
