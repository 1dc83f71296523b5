#include "app/ResourceApi.h"
#include "http/HttpServer.h"
#include "logservice/LogStore.h"
#include "platform/LogFollower.h"
#include "platform/ReplicaFeed.h"
#include "state/KeyText.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

namespace knapweedloft {
namespace {

using testing::HasSubstr;

struct CommandResult {
  int m_Code = -1;
  std::string m_Output; ///< Standard output and standard error.
};

/// Runs the program against a served resource API.
class ResourceCommandsTest : public testing::Test {
protected:
  ResourceCommandsTest()
      : m_Follower({.m_Log = m_Store.service(),
                    .m_Stream = "config",
                    .m_Next = [this] { return m_Feed.next(); },
                    .m_OnRead = [this](const platform::LogRead &Read,
                                       const auto &) { m_Feed.take(Read); },
                    .m_Now = [] { return absl::Now(); },
                    .m_Random = [] { return 0.0; },
                    .m_Wait = absl::Milliseconds(20)}),
        m_Api({.m_Replica = &m_Replica,
               .m_Log = m_Store.service(),
               .m_Applied = [this] { return m_Applied; },
               .m_Now = [] { return absl::Now(); },
               .m_WallNow = [] { return absl::UnixEpoch(); },
               .m_Random = [] { return 0.0; },
               .m_Token = "secret",
               .m_AnswerDeadline = absl::Seconds(1),
               .m_AppendDeadline = absl::Milliseconds(500)}),
        m_Server({.m_OnRequest = [this](http::HttpExchange Exchange) {
          m_Api.handle(std::move(Exchange));
        }}) {
    setenv("KNAPWEEDLOFT_TOKEN", "secret", 1);
    m_Follower.start();
  }

  CommandResult run(const std::string &Arguments) {
    const std::string Line =
        std::string(KNAPWEEDLOFT_PROGRAM) + " " + Arguments + " 2>&1";
    std::FILE *Pipe = popen(Line.c_str(), "r");
    CommandResult Result;
    std::array<char, 4096> Buffer{};
    while (const std::size_t Bytes =
               std::fread(Buffer.data(), 1, Buffer.size(), Pipe))
      Result.m_Output.append(Buffer.data(), Bytes);
    Result.m_Code = WEXITSTATUS(pclose(Pipe));
    return Result;
  }

  CommandResult call(const std::string &Command, const std::string &Rest) {
    return run(Command + " --api 127.0.0.1:" + std::to_string(m_Server.port()) +
               " " + Rest);
  }

  void joinMember(const std::string &Name) {
    m_Store.append(
        "config",
        state::encodeRecord({.m_Entry = state::Join{{.m_Name = Name,
                                                     .m_Incarnation = 1,
                                                     .m_Link = {"127.0.0.1", 1},
                                                     .m_Region = "r",
                                                     .m_DataCenter = "dc"}}}));
  }

  logservice::LogStore m_Store;
  state::StateReplica m_Replica;
  platform::ReplicaFeed m_Feed{m_Replica};
  app::AppliedSummary m_Applied;
  platform::LogFollower m_Follower;
  app::ResourceApi m_Api;
  http::HttpServer m_Server;
};

TEST_F(ResourceCommandsTest, Apply_ArgumentsThenGet_ShowsTheResource) {
  EXPECT_EQ(call("apply", "customers acme display_name=Acme").m_Code, 0);
  EXPECT_EQ(call("apply", "rates acme per_second=2.5 burst=10").m_Code, 0);
  const CommandResult Got = call("get", "rates");
  EXPECT_EQ(Got.m_Code, 0);
  EXPECT_THAT(Got.m_Output, HasSubstr("2.5"));
  EXPECT_THAT(call("get", "customers acme --output json").m_Output,
              HasSubstr("\"display_name\": \"Acme\""));
}

TEST_F(ResourceCommandsTest, Apply_FileThatGetPrinted_IsAccepted) {
  call("apply", "customers acme");
  const std::string Path = testing::TempDir() + "resources.json";
  const std::string Port = std::to_string(m_Server.port());
  EXPECT_EQ(call("get", "customers --output json > " + Path).m_Code, 0);
  EXPECT_EQ(call("apply", "--file " + Path).m_Code, 0);
  std::remove(Path.c_str());
}

TEST_F(ResourceCommandsTest, Apply_Key_PrintsAKeyThatTheStateKnows) {
  call("apply", "customers acme");
  const CommandResult Made = call("apply", "keys k customer=acme");
  EXPECT_EQ(Made.m_Code, 0);
  const std::size_t At = Made.m_Output.find(state::KeyPrefix);
  ASSERT_NE(At, std::string::npos);
  const std::string Text =
      Made.m_Output.substr(At, Made.m_Output.find('\n', At) - At);
  EXPECT_NE(m_Replica.store().share()->findKey(state::digestOf(Text)), nullptr);
  // The key that stands is not replaced without being asked.
  EXPECT_EQ(call("apply", "keys k customer=acme").m_Code, 3);
}

TEST_F(ResourceCommandsTest, Commands_BadInput_EndWithCode2) {
  for (const char *Arguments :
       {"things a", "customers", "rates acme per_second=many", "customers A",
        "customers a colour=red", "customers a x", "--file /nowhere",
        "customers a --if-new --if-revision 3"})
    EXPECT_EQ(call("apply", Arguments).m_Code, 2) << Arguments;
  EXPECT_EQ(run("apply --api localhost:1 customers a").m_Code, 2);
  EXPECT_EQ(run("apply customers a").m_Code, 2);
  EXPECT_EQ(call("watch", "--until in-force").m_Code, 2);
  EXPECT_EQ(m_Store.end("config"), 0U);
}

TEST_F(ResourceCommandsTest, Commands_Refusals_EndWithCode3) {
  EXPECT_EQ(call("apply", "rates nobody per_second=1 burst=1").m_Code, 3);
  EXPECT_EQ(call("get", "customers nobody").m_Code, 3);
  EXPECT_EQ(call("delete", "customers nobody").m_Code, 3);
  call("apply", "customers acme");
  EXPECT_EQ(call("apply", "customers acme --if-new").m_Code, 3);
  EXPECT_EQ(call("apply", "customers acme --if-revision 7").m_Code, 3);
}

TEST_F(ResourceCommandsTest, Commands_NoDaemonOrWrongToken_EndWithCode1) {
  EXPECT_EQ(run("get --api 127.0.0.1:1 --timeout 0.3 customers").m_Code, 1);
  setenv("KNAPWEEDLOFT_TOKEN", "wrong", 1);
  EXPECT_EQ(call("get", "customers").m_Code, 1);
}

TEST_F(ResourceCommandsTest, Apply_FirstDaemonDoesNotAnswer_UsesTheNext) {
  EXPECT_EQ(run("apply --api 127.0.0.1:1 --api 127.0.0.1:" +
                std::to_string(m_Server.port()) + " customers acme")
                .m_Code,
            0);
}

TEST_F(ResourceCommandsTest, Apply_LogAwayForGood_EndsInTimeWithWhy) {
  m_Store.setFaults({.m_IsDown = true});
  const CommandResult Result = call("apply", "customers acme --timeout 2");
  EXPECT_EQ(Result.m_Code, 1);
  EXPECT_THAT(Result.m_Output, HasSubstr("log-unavailable"));
}

TEST_F(ResourceCommandsTest, Apply_NoAnswerInTime_SaysItMayComeIntoForce) {
  m_Follower.stop();
  const CommandResult Result =
      call("apply", "customers acme --change-id op-1 --timeout 0.5");
  EXPECT_EQ(Result.m_Code, 4);
  EXPECT_THAT(Result.m_Output, HasSubstr("--change-id op-1"));
}

TEST_F(ResourceCommandsTest, Apply_AnswersOfLogLost_IsMadeOnce) {
  m_Store.setFaults({.m_LoseAnswers = 2});
  EXPECT_EQ(call("apply", "customers acme --if-new").m_Code, 0);
}

TEST_F(ResourceCommandsTest, Until_EveryDaemonApplies_EndsWithCode0) {
  joinMember("a1");
  m_Applied = app::AppliedSummary::of({"a1", 1, 100});
  const CommandResult Result = call("apply", "customers acme --until in-force");
  EXPECT_EQ(Result.m_Code, 0);
  EXPECT_THAT(Result.m_Output, HasSubstr("applied by 1 of 1 daemons"));
  EXPECT_EQ(call("delete", "customers acme --until in-force").m_Code, 0);
}

TEST_F(ResourceCommandsTest, Until_ADaemonIsBehind_EndsWithCode4AndItsName) {
  joinMember("a1");
  m_Applied = app::AppliedSummary::of({"a1", 1, 1});
  call("apply", "customers acme");
  const CommandResult Result =
      call("watch", "customers acme --until in-force --timeout 2");
  EXPECT_EQ(Result.m_Code, 4);
  EXPECT_THAT(Result.m_Output, HasSubstr("behind: a1"));
}

TEST_F(ResourceCommandsTest, Watch_FromTheStart_PrintsTheChanges) {
  call("apply", "customers acme");
  call("delete", "customers acme");
  const CommandResult Result = call("watch", "--from 0 --timeout 2");
  EXPECT_EQ(Result.m_Code, 0);
  EXPECT_EQ(Result.m_Output, "customers acme applied revision 1\n"
                             "customers acme deleted revision 2\n");
}

} // namespace
} // namespace knapweedloft
