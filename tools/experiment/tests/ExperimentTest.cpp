#include "experiment/BenchRunner.h"
#include "experiment/Comparison.h"
#include "experiment/ExperimentError.h"
#include "harness/Process.h"

#include "fmt/format.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <fstream>
#include <unistd.h>

namespace knapweedloft::experiment {
namespace {

namespace fs = std::filesystem;

using ::testing::HasSubstr;

/// A repository with one commit, and a plan for it.
class ExperimentTest : public ::testing::Test {
protected:
  void SetUp() override {
    fs::create_directories(m_Repository / "deploy");
    fs::create_directories(m_Repository / "journal");
    std::ofstream(m_Repository / "deploy/settings.toml")
        << "{{#bounds}}\n[limits]\ngain = 1\n[other]\ngain = 0\n{{/bounds}}\n";
    git({"init", "-q"});
    git({"add", "."});
    git({"-c", "user.name=t", "-c", "user.email=t@t", "commit", "-qm", "x"});
  }

  void TearDown() override { fs::remove_all(m_Folder); }

  void git(std::vector<std::string> Words) const {
    Words.insert(Words.begin(), {"/usr/bin/git", "-C", m_Repository.string()});
    harness::Process Git(Words);
    ASSERT_EQ(Git.wait(), 0) << Git.errors();
  }

  std::string planFile(const std::string &Text) const {
    std::string Path = (m_Folder / "plan.toml").string();
    std::ofstream(Path) << Text;
    return Path;
  }

  std::size_t run(const ExperimentPlan &Plan, ResultFile &Results) {
    m_Told.clear();
    BenchRunner::Options Options;
    Options.m_Bench = KNAPWEEDLOFT_BENCH_STANDIN;
    Options.m_Repository = m_Repository;
    Options.m_Folder = m_Folder / "trees";
    Options.m_OnProgress = [this](const std::string &Name, const std::string &,
                                  std::size_t,
                                  std::size_t) { m_Told.push_back(Name); };
    return BenchRunner(Options).run(Plan, Results);
  }

  ExperimentPlan plan() const {
    return {.m_Why = "test",
            .m_Sites = {"site.toml"},
            .m_Days = {"day-1", "day-2"},
            .m_Seeds = {1, 2, 3},
            .m_Variants = {
                {.m_Name = "base"},
                {.m_Name = "more", .m_Settings = {{"limits.gain", "4"}}}}};
  }

  fs::path m_Folder =
      fs::path(::testing::TempDir()) /
      fmt::format(
          "experiment-{}-{}", ::getpid(),
          ::testing::UnitTest::GetInstance()->current_test_info()->name());
  fs::path m_Repository = m_Folder / "repository";
  std::vector<std::string> m_Told;
};

TEST_F(ExperimentTest, Run_TwoVariants_AreComparedByDayAndSeed) {
  ResultFile Results(m_Folder / "result.json");
  EXPECT_EQ(run(plan(), Results), 0U);
  EXPECT_EQ(Results.plays().size(), 12U);
  Comparison Found(Results.plays(), "base");
  PairedDifference Worth = Found.difference("more", "site.toml", "", "worth");
  EXPECT_EQ(Worth.m_Pairs, 6U);
  EXPECT_NEAR(Worth.m_Mean, 0.03, 1e-9);
  EXPECT_TRUE(Worth.isClear());
  std::string Text = Found.markdown({"worth", "price machine-seconds"});
  EXPECT_THAT(Text, HasSubstr("+0.0300"));
  EXPECT_THAT(Text, HasSubstr("No rule was broken."));
  EXPECT_TRUE(fs::exists(m_Repository / "journal/day-1-1-4.json"));
}

TEST_F(ExperimentTest, Run_Again_PlaysOnlyWhatIsMissing) {
  {
    ResultFile Results(m_Folder / "result.json");
    ExperimentPlan Part = plan();
    Part.m_Seeds = {1};
    EXPECT_EQ(run(Part, Results), 0U);
    EXPECT_EQ(m_Told.size(), 4U);
  }
  ResultFile Results(m_Folder / "result.json");
  EXPECT_EQ(run(plan(), Results), 0U);
  EXPECT_EQ(m_Told.size(), 8U);
}

TEST_F(ExperimentTest, Run_PlayFails_IsToldAndTheOthersCount) {
  ExperimentPlan Plan = plan();
  Plan.m_Days = {"day-1", "broken-day"};
  ResultFile Results(m_Folder / "result.json");
  EXPECT_EQ(run(Plan, Results), 6U);
  EXPECT_EQ(Results.plays().size(), 6U);
}

TEST_F(ExperimentTest, Run_RuleBroken_IsListed) {
  ExperimentPlan Plan = plan();
  Plan.m_Seeds = {13};
  ResultFile Results(m_Folder / "result.json");
  EXPECT_EQ(run(Plan, Results), 0U);
  EXPECT_THAT(Comparison(Results.plays(), "base").markdown({"worth"}),
              HasSubstr("more site.toml day-2 --seed 13: TWICE"));
}

TEST_F(ExperimentTest, Run_UnknownCommitOrSetting_IsAClearError) {
  ResultFile Results(m_Folder / "result.json");
  ExperimentPlan Plan = plan();
  Plan.m_Variants[1].m_Settings = {{"limits.none", "1"}};
  EXPECT_THROW(run(Plan, Results), ExperimentError);
  Plan.m_Variants[1] = {.m_Name = "gone", .m_Commit = "no-such-branch"};
  EXPECT_THROW(run(Plan, Results), ExperimentError);
}

TEST_F(ExperimentTest, LoadPlan_WholeFile_IsRead) {
  ExperimentPlan Read = loadPlan(planFile(R"(
why = "w"
sites = ["a.toml"]
days = ["scale-1"]
seeds = [1, 2]
bench_options = ["--no-cpu"]
[[variant]]
name = "base"
commit = "main"
[[variant]]
name = "near"
settings = { "placement.leave" = "auto" }
)"));
  EXPECT_EQ(Read.m_Variants[0].m_Commit, "main");
  EXPECT_EQ(Read.m_Variants[1].m_Settings.at("placement.leave"), "\"auto\"");
  EXPECT_EQ(Read.m_Seeds.size(), 2U);
}

TEST_F(ExperimentTest, LoadPlan_UnknownKeyOrDoubleName_IsAClearError) {
  std::string Head = "why = 'w'\nsites = ['a']\ndays = ['d']\nseeds = [1]\n";
  EXPECT_THROW((void)loadPlan(planFile(Head + "seed = 3\n")), ExperimentError);
  EXPECT_THROW((void)loadPlan(planFile(Head + "[[variant]]\nname = 'a'\n"
                                              "[[variant]]\nname = 'a'\n")),
               ExperimentError);
  EXPECT_THROW((void)loadPlan("no-such-file"), ExperimentError);
}

TEST(PairedDifferenceTest, PairedDifferenceOf_NoiseAroundZero_IsNotClear) {
  PairedDifference Found =
      pairedDifferenceOf({0.02, -0.03, 0.01, -0.01, 0.03, -0.02});
  EXPECT_FALSE(Found.isClear());
  EXPECT_LE(Found.m_Low, Found.m_Mean);
  EXPECT_GE(Found.m_High, Found.m_Mean);
}

TEST(PairedDifferenceTest, PairedDifferenceOf_OnePair_HasNoInterval) {
  PairedDifference Found = pairedDifferenceOf({0.02});
  EXPECT_EQ(Found.m_Low, Found.m_Mean);
  EXPECT_EQ(Found.m_High, Found.m_Mean);
}

} // namespace
} // namespace knapweedloft::experiment
