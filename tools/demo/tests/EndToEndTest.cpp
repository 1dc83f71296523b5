#include "demo/DemoSite.h"

#include "harness/HttpCall.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <csignal>

namespace knapweedloft::demo {
namespace {

using testing::HasSubstr;

/// One site of real processes for all tests of the path.
class EndToEndTest : public testing::Test {
protected:
  static void SetUpTestSuite() {
    SharedSite = new DemoSite(1);
    SharedSite->addRoutes();
    SharedKey = SharedSite->addCustomer("ana", 1000, 1000);
    ASSERT_TRUE(SharedSite->awaitServing(SharedKey));
  }

  static void TearDownTestSuite() {
    delete SharedSite;
    SharedSite = nullptr;
  }

  static http::HttpResponse call(http::HttpRequest Request) {
    http::HttpResult Result = harness::httpCall(
        SharedSite->site().node(0).m_CallerPort, std::move(Request));
    EXPECT_EQ(Result.m_Failure, http::Failure::None);
    return Result.m_Response;
  }

  static http::HttpResponse callApi(http::HttpRequest Request) {
    http::HttpResult Result = harness::httpCall(
        SharedSite->site().node(0).m_ApiPort, std::move(Request));
    EXPECT_EQ(Result.m_Failure, http::Failure::None);
    return Result.m_Response;
  }

  static http::HeaderList withKey() {
    return {{"Authorization", "Bearer " + SharedKey}};
  }

  static inline DemoSite *SharedSite = nullptr;
  static inline std::string SharedKey;
};

TEST_F(EndToEndTest, Traffic_InsideRate_IsAnsweredWhole) {
  caller::LoadReport Report = SharedSite->send(
      {{.m_Name = "ana", .m_Key = SharedKey, .m_PerSecond = 50}},
      absl::Seconds(1));
  EXPECT_EQ(Report.total().m_Succeeded, Report.total().m_Calls);
  EXPECT_EQ(Report.m_WrongAnswers, 0U);
  EXPECT_EQ(SharedSite->keysSeen(), 0U);
}

TEST_F(EndToEndTest, Route_Unknown_Answers404Problem) {
  http::HttpResponse Answer = call({"GET", "/nowhere", withKey(), ""});
  EXPECT_EQ(Answer.m_Status, 404);
  EXPECT_EQ(*http::findHeader(Answer.m_Headers, "Content-Type"),
            "application/problem+json");
  EXPECT_THAT(Answer.m_Body, HasSubstr(R"("reason":"unknown-route")"));
  EXPECT_THAT(Answer.m_Body, HasSubstr(R"("ran":"no")"));
}

TEST_F(EndToEndTest, Key_Unknown_Answers401Problem) {
  http::HttpResponse Answer =
      call({"POST", "/orders/", {{"Authorization", "Bearer kwl_no"}}, ""});
  EXPECT_EQ(Answer.m_Status, 401);
  EXPECT_THAT(Answer.m_Body, HasSubstr(R"("reason":"bad-key")"));
  EXPECT_THAT(Answer.m_Body, testing::Not(HasSubstr("kwl_no")));
}

TEST_F(EndToEndTest, Body_PastLimit_Answers413Problem) {
  http::HttpResponse Answer =
      call({"POST", "/orders/", withKey(), std::string((1 << 20) + 1, 'x')});
  EXPECT_EQ(Answer.m_Status, 413);
  EXPECT_THAT(Answer.m_Body, HasSubstr(R"("ran":"no")"));
}

TEST_F(EndToEndTest, Api_BadJson_Answers400Problem) {
  http::HttpResponse Answer =
      callApi({"PUT", "/v1/customers/eva", {}, "{\"display_name\": "});
  EXPECT_EQ(Answer.m_Status, 400);
  EXPECT_EQ(*http::findHeader(Answer.m_Headers, "Content-Type"),
            "application/problem+json");
}

TEST_F(EndToEndTest, Api_UnknownField_IsNamed) {
  http::HttpResponse Answer =
      callApi({"PUT", "/v1/customers/eva", {}, R"({"colour": "red"})"});
  EXPECT_EQ(Answer.m_Status, 400);
  EXPECT_THAT(Answer.m_Body, HasSubstr("colour"));
}

TEST_F(EndToEndTest, Api_UnknownPath_Answers404) {
  EXPECT_EQ(callApi({"GET", "/v1/nothing", {}, ""}).m_Status, 404);
}

/// The program itself, without a site.
TEST(ProgramTest, Run_BadSettings_EndsWith2AndOneLine) {
  harness::ProgramResult Result = harness::runProgram(
      {"knapweedloft", "run", "--settings", "/no/such.toml"});
  EXPECT_EQ(Result.m_Code, 2);
  EXPECT_EQ(Result.m_Errors,
            "knapweedloft: /no/such.toml: cannot be read (No such file or "
            "directory); allowed: a readable TOML file that is not empty\n");
}

TEST(ProgramTest, Unknown_Subcommand_EndsWith2) {
  EXPECT_EQ(harness::runProgram({"knapweedloft", "fly"}).m_Code, 2);
}

TEST(ProgramTest, Version_IsPrinted) {
  harness::ProgramResult Result =
      harness::runProgram({"knapweedloft", "--version"});
  EXPECT_EQ(Result.m_Code, 0);
  EXPECT_THAT(Result.m_Output, testing::StartsWith("knapweedloft "));
}

/// A site of its own, since its log service is paused for good.
TEST(LogServiceTest, Stopped_TrafficGoesOnAndChangesAreRefused) {
  DemoSite Site(1);
  Site.addRoutes();
  const std::string Key = Site.addCustomer("ana", 1000, 1000);
  ASSERT_TRUE(Site.awaitServing(Key));
  Site.site().logService().signal(SIGKILL);
  (void)Site.site().logService().wait();
  http::HttpResult Change = harness::httpCall(
      Site.site().node(0).m_ApiPort, {"PUT", "/v1/customers/eva", {}, "{}"},
      absl::Minutes(1));
  ASSERT_EQ(Change.m_Failure, http::Failure::None);
  EXPECT_EQ(Change.m_Response.m_Status, 503);
  caller::LoadReport Report = Site.send(
      {{.m_Name = "ana", .m_Key = Key, .m_PerSecond = 50}}, absl::Seconds(1));
  EXPECT_EQ(Report.total().m_Succeeded, Report.total().m_Calls);
}

} // namespace
} // namespace knapweedloft::demo
