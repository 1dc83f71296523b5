#include "WatchCommand.h"

#include "ApiClient.h"
#include "ChangeReport.h"
#include "InForce.h"
#include "Output.h"
#include "ResourceInput.h"
#include "UsageError.h"
#include "app/Clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace knapweedloft {
namespace {

struct WatchOptions {
  ApiOptions m_Api;
  std::string m_Kind;
  std::string m_Name;
  std::optional<std::uint64_t> m_From;
  std::optional<std::uint64_t> m_Revision;
  std::string m_Until;
};

/// Below the time after which ApiClient gives a daemon up.
constexpr absl::Duration MaxPoll = absl::Seconds(10);

std::string pollPath(const WatchOptions &Options,
                     std::optional<std::uint64_t> From, absl::Duration Wait) {
  std::string Path =
      fmt::format("/v1/watch?wait_ms={}", absl::ToInt64Milliseconds(Wait));
  if (From)
    Path += fmt::format("&from={}", *From);
  if (!Options.m_Kind.empty())
    Path += "&kind=" + Options.m_Kind;
  return Path;
}

void printEvent(const WatchOptions &Options, const nlohmann::json &Event) {
  if (!Options.m_Name.empty() && Event.value("name", "") != Options.m_Name)
    return;
  if (Options.m_Api.isJson())
    return fmt::print("{}\n", Event.dump());
  fmt::print("{} {} {} revision {}\n", Event.value("kind", ""),
             Event.value("name", ""),
             Event.value("deleted", false) ? "deleted" : "applied",
             Event.value("revision", std::uint64_t{0}));
}

/// Prints changes until the time is over.
ExitCode printChanges(const WatchOptions &Options, ApiClient &Client,
                      absl::Time Deadline) {
  std::optional<std::uint64_t> From = Options.m_From;
  while (true) {
    const absl::Duration Rest = Deadline - app::monotonicNow();
    if (Rest <= absl::Milliseconds(1))
      return ExitCode::Ok;
    const absl::Duration Wait = std::min(Rest, MaxPoll);
    const auto Answer = Client.call(
        {.m_Method = "GET", .m_Path = pollPath(Options, From, Wait)},
        Deadline + absl::Seconds(1));
    const ExitCode Code = reportAnswer(Answer, "watch");
    if (Code != ExitCode::Ok)
      return Code;
    for (const nlohmann::json &Each :
         Answer->m_Body.value("events", nlohmann::json::array()))
      printEvent(Options, Each);
    std::fflush(stdout);
    From = Answer->m_Body.value("next", std::uint64_t{0});
  }
}

std::string statusPath(const WatchOptions &Options) {
  if (Options.m_Revision)
    return statusPathOf(*Options.m_Revision);
  if (Options.m_Name.empty())
    throw UsageError("--until in-force needs KIND NAME or --revision");
  return fmt::format("/v1/{}/{}/status", Options.m_Kind, Options.m_Name);
}

ExitCode runWatch(const WatchOptions &Options) {
  if (!Options.m_Kind.empty())
    checkKind(Options.m_Kind);
  ApiClient Client(Options.m_Api);
  const absl::Time Deadline = app::monotonicNow() + Options.m_Api.timeout();
  if (Options.m_Until.empty())
    return printChanges(Options, Client, Deadline);
  return awaitInForce(Client, statusPath(Options), Deadline)
             ? ExitCode::Ok
             : ExitCode::NotInTime;
}

} // namespace

void addWatchCommand(CLI::App &App) {
  auto Options = std::make_shared<WatchOptions>();
  CLI::App *Command =
      App.add_subcommand("watch", "Show changes, or one coming into force");
  Command->footer(
      "Examples:\n"
      "  knapweedloft watch --api 127.0.0.1:8081 --timeout 3600\n"
      "  knapweedloft watch --api 127.0.0.1:8081 rates acme --until in-force "
      "--timeout 10\n"
      "Exit code 4 says that it was not in force in time.");
  addApiOptions(*Command, Options->m_Api);
  Command->add_option("kind", Options->m_Kind, "only this kind");
  Command->add_option("name", Options->m_Name, "only this resource");
  Command
      ->add_option("--from", Options->m_From,
                   "changes after this revision; from now on without it")
      ->type_name("REVISION");
  Command
      ->add_option("--revision", Options->m_Revision,
                   "wait for this revision instead of a resource's")
      ->type_name("REVISION");
  Command
      ->add_option("--until", Options->m_Until,
                   "end when every daemon applies the resource")
      ->check(CLI::IsMember({"in-force"}));
  Command->callback([Options] { throw Exit{runWatch(*Options)}; });
}

} // namespace knapweedloft
