#include "mesh/EntryPath.h"

#include "TestSite.h"
#include "model/Ran.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::mesh {
namespace {

/// The entry side of one daemon in data center "a", "b" or "c", each of which
/// has one target of the service that is called.
class LeavingTest : public ::testing::Test {
protected:
  struct Sent {
    std::string m_DataCenter;
    wire::ForwardT m_Message;
  };

  LeavingTest() {
    for (const char *DataCenter : {"a", "b", "c"})
      m_Entries.push_back(std::make_unique<EntryPath>(
          options(DataCenter), ComponentLog(m_Log, "entry")));
    for (auto &Entry : m_Entries)
      Entry->setCatalog(testing::makeCatalog(), m_Now);
  }

  EntryPath::Options options(const std::string &DataCenter) {
    EntryPath::Options Options;
    Options.m_Self = {.m_Name = "self-" + DataCenter,
                      .m_Incarnation = 1,
                      .m_Region = "r",
                      .m_DataCenter = DataCenter,
                      .m_Service = "web"};
    Options.m_SelfAddress = "10.0.0.1";
    Options.m_HeaderNames = testing::Names;
    Options.m_Seed = 3;
    Options.m_Leave = policy::LeaveRule::Auto;
    Options.m_Hooks.m_Forward = [this](const model::Member &To,
                                       wire::ForwardT Message) {
      m_Sent.push_back({To.m_DataCenter, std::move(Message)});
      return true;
    };
    Options.m_Hooks.m_Cancel = [](const model::Member &, wire::CancelT) {};
    Options.m_Hooks.m_Answer = [](http::ExchangeId, int, std::string_view,
                                  std::string_view) {};
    Options.m_Hooks.m_TargetsOf = [](const std::string &) {
      std::vector<PeerTarget> Targets;
      for (model::Incarnation Id : {11, 12, 13})
        Targets.push_back(
            {.m_Member = {.m_Name = "d" + std::to_string(Id),
                          .m_Incarnation = Id,
                          .m_Region = "r",
                          .m_DataCenter = std::string(1, 'a' + (Id - 11)),
                          .m_Service = "archive"},
             .m_Instance = "i",
             .m_IsOpen = true});
      return Targets;
    };
    Options.m_Hooks.m_RouteRunningUntil = [](absl::Time) {
      return std::string();
    };
    Options.m_Hooks.m_HasCrossedUntil = [this](absl::Time) {
      return m_HasCrossed;
    };
    return Options;
  }

  static std::size_t indexOf(const std::string &DataCenter) {
    return static_cast<std::size_t>(DataCenter[0] - 'a');
  }

  /// A call of the target beside a daemon, answered by a target that says how
  /// many of its ten slots are taken. \returns where it was sent to.
  std::string call(const std::string &From, std::uint32_t RunningAtHome,
                   std::uint32_t RunningAway) {
    EntryPath &Entry = *m_Entries[indexOf(From)];
    for (model::Incarnation Id : {11, 12, 13}) {
      bool IsHome = indexOf(From) == Id - 11;
      std::uint32_t Running = IsHome ? RunningAtHome : RunningAway;
      Entry.onLoad("archive", Id, {10, Running, 0, 0, 200'000, false}, m_Now);
    }
    http::ParsedMessage Message;
    Message.m_Method = "GET";
    Message.m_Path = "/calls/1";
    Message.m_Headers = {
        {"Host", "site"}, {"Call-Id", "c1"}, {"Time-Left", "3000"}};
    Entry.onRequest({1, ++m_Exchange}, std::move(Message), "10.0.0.1", m_Now);
    m_Now += absl::Milliseconds(50);
    Sent Last = std::move(m_Sent.back());
    m_HasCrossed = Last.m_Message.has_crossed;
    wire::AnswerT Answer;
    Answer.id = Last.m_Message.id;
    Answer.ran = static_cast<std::uint8_t>(model::Ran::Yes);
    Answer.status = 200;
    Answer.held_us = 48'000;
    Answer.load = {
        10,      Last.m_DataCenter == From ? RunningAtHome : RunningAway,
        0,       0,
        200'000, false};
    Entry.onAnswer(Answer, m_Now);
    Entry.tick(m_Now);
    return Last.m_DataCenter;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::string m_LogText;
  telemetry::EventLog m_Log{{.m_Sink = [this](std::string_view Text) {
    m_LogText += Text;
    return Text.size();
  }}};
  bool m_HasCrossed = false; ///< The work that makes the next call.
  std::deque<Sent> m_Sent;
  std::uint64_t m_Exchange = 0;
  std::vector<std::unique_ptr<EntryPath>> m_Entries;
};

TEST_F(LeavingTest, OnRequest_HomeIsFull_LeavesIsCountedAndLogged) {
  int Left = 0;
  for (int Count = 0; Count < 100; ++Count) {
    m_HasCrossed = false;
    Left += call("a", 40, 2) != "a" ? 1 : 0;
  }
  EXPECT_GT(Left, 50);
  const auto &Counts = m_Entries[0]->leaving().byService().at("archive");
  EXPECT_EQ(Counts.m_Left, static_cast<std::uint64_t>(Left));
  EXPECT_GT(Counts.m_LeftBytes, 0U);
  EXPECT_GT(Counts.m_Share, 0.5);
  m_Log.flush(absl::Now());
  EXPECT_NE(m_LogText.find("The share that leaves the data center changed."),
            std::string::npos);
}

TEST_F(LeavingTest, OnRequest_HomeHasRoom_Stays) {
  for (int Count = 0; Count < 100; ++Count) {
    m_HasCrossed = false;
    EXPECT_EQ(call("a", 9, 0), "a");
  }
}

/// Each data center believes that the others have room and it has not.
TEST_F(LeavingTest, OnRequest_ChainOfSevenHops_CrossesAtMostOnce) {
  for (const char *From : {"a", "b", "c"})
    for (int Count = 0; Count < 100; ++Count) {
      m_HasCrossed = false;
      call(From, 40, 2);
    }
  int Chains = 0;
  for (int Chain = 0; Chain < 100; ++Chain) {
    m_HasCrossed = false;
    int Crossings = 0;
    std::string At = "a";
    for (int Hop = 0; Hop < 7; ++Hop) {
      std::string To = call(At, 40, 2);
      Crossings += To != At ? 1 : 0;
      At = To;
    }
    ASSERT_LE(Crossings, 1);
    Chains += Crossings;
  }
  EXPECT_GT(Chains, 90);
}

} // namespace
} // namespace knapweedloft::mesh
