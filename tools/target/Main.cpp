#include "target/TargetServer.h"

#include "absl/time/clock.h"

#include "absl/synchronization/mutex.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>

namespace {

using namespace knapweedloft;

constexpr time_t AnnounceSeconds = 1;

sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

void serve(const target::TargetOptions &Settings) {
  const sigset_t Signals = blockStopSignals();
  const absl::Time WarmAt = absl::Now() + Settings.m_ColdTime;
  target::TargetServer Server(Settings);
  fmt::print(stderr, "listening address={} port={}\n", Settings.m_Address,
             Server.port());
  const timespec Interval{.tv_sec = AnnounceSeconds, .tv_nsec = 0};
  do {
    if (absl::Now() >= WarmAt)
      Server.endColdStart();
    Server.announce("ready");
  } while (sigtimedwait(&Signals, nullptr, &Interval) < 0);
  Server.announce("draining");
}

} // namespace

int main(int Count, char **Arguments) {
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  CLI::App App{"Stand-in for a target of a service."};
  target::TargetOptions Settings;
  double WorkMs = absl::ToDoubleMilliseconds(Settings.m_WorkTime);
  double ColdMs = 0;
  App.add_option("--service", Settings.m_Service, "Service it serves")
      ->required();
  App.add_option("--address", Settings.m_Address, "IP number");
  App.add_option("--port", Settings.m_Port, "0: the kernel chooses");
  App.add_option("--threads", Settings.m_Threads, "Threads of the server");
  App.add_option("--slots", Settings.m_Slots, "Requests worked on at once");
  App.add_option("--work-ms", WorkMs, "Time a request takes");
  App.add_option("--daemon", Settings.m_Daemon,
                 "IP:PORT of its daemon's listener for callers");
  App.add_option("--calls", Settings.m_Calls,
                 "Path that it calls through its daemon for each request");
  App.add_option("--cold-ms", ColdMs, "Time in a cold start");
  App.add_option("--cold-slots", Settings.m_ColdSlots, "Slots until then");
  App.add_option("--journal", Settings.m_Journal,
                 "File that each start is appended to");
  App.add_option("--crash-on", Settings.m_CrashOn,
                 "Text in a request that ends the process");
  CLI11_PARSE(App, Count, Arguments);
  Settings.m_WorkTime = absl::Milliseconds(WorkMs);
  Settings.m_ColdTime = absl::Milliseconds(ColdMs);
  try {
    serve(Settings);
    return 0;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "error: {}\n", Error.what());
    return 1;
  }
}
