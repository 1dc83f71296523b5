#include "standins/DaemonConfig.h"

#include "fmt/format.h"
#include "gtest/gtest.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweedloft {
namespace {

/// Runs the program as a child process whose output is read from a pipe.
class NodeCommandTest : public ::testing::Test {
protected:
  void SetUp() override {
    // The tests of a program may run beside each other.
    m_Settings = fmt::format("{}/node-command-test-{}.toml",
                             ::testing::TempDir(), ::getpid());
    std::ofstream(m_Settings)
        << standins::settingsText(standins::loopbackConfig(1, "archive"));
  }

  void TearDown() override {
    std::filesystem::remove(m_Settings);
    if (m_Output)
      std::fclose(m_Output);
    if (m_Process > 0) {
      ::kill(m_Process, SIGKILL);
      ::waitpid(m_Process, nullptr, 0);
    }
  }

  /// Starts the program with \p Pending waiting for it.
  void start(int Pending) {
    int Ends[2];
    ASSERT_EQ(::pipe(Ends), 0);
    m_Process = ::fork();
    if (m_Process == 0) {
      sigset_t Set;
      ::sigemptyset(&Set);
      ::sigaddset(&Set, Pending);
      ::sigprocmask(SIG_BLOCK, &Set, nullptr);
      ::raise(Pending);
      ::dup2(Ends[1], STDOUT_FILENO);
      ::execl(KNAPWEEDLOFT_PROGRAM, "knapweedloft", "node", "--settings",
              m_Settings.c_str(), nullptr);
      ::_exit(1);
    }
    ::close(Ends[1]);
    m_Output = ::fdopen(Ends[0], "r");
  }

  /// \returns whether a line has \p Text before the program says \p Last.
  bool says(const std::string &Text, const std::string &Last) {
    char Line[4096];
    while (std::fgets(Line, sizeof(Line), m_Output)) {
      if (std::string(Line).find(Text) != std::string::npos)
        return true;
      if (std::string(Line).find(Last) != std::string::npos)
        return false;
    }
    return false;
  }

  std::string m_Settings;
  pid_t m_Process = -1;
  std::FILE *m_Output = nullptr;
};

TEST_F(NodeCommandTest, Run_HangUpBeforeItHasStarted_ReadsTheSettingsAgain) {
  start(SIGHUP);
  EXPECT_TRUE(says("The settings are unchanged.", "Ready."));
}

TEST_F(NodeCommandTest, Run_SettingsChangeWithoutASignal_AreReadAgain) {
  start(SIGHUP);
  ASSERT_TRUE(says("The settings are unchanged.", "Ready."));
  std::string Text;
  std::getline(std::ifstream(m_Settings), Text, '\0');
  std::ofstream(m_Settings) << Text << "# nothing else\n";
  std::filesystem::last_write_time(
      m_Settings,
      std::filesystem::file_time_type::clock::now() + std::chrono::seconds(5));
  EXPECT_TRUE(says("cause=file", "Stopped."));
}

TEST_F(NodeCommandTest, Run_StopBeforeItHasStarted_EndsWithZero) {
  start(SIGTERM);
  EXPECT_TRUE(says("Stopping.", "Ready."));
  int Status = 0;
  ASSERT_EQ(::waitpid(m_Process, &Status, 0), m_Process);
  m_Process = -1;
  EXPECT_TRUE(WIFEXITED(Status) && WEXITSTATUS(Status) == 0);
}

} // namespace
} // namespace knapweedloft
