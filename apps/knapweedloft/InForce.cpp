#include "InForce.h"

#include "app/Clock.h"

#include "absl/time/clock.h"

#include <fmt/format.h>

namespace knapweedloft {
namespace {

constexpr absl::Duration PollPause = absl::Milliseconds(100);

} // namespace

bool awaitInForce(ApiClient &Client, const std::string &StatusPath,
                  absl::Time Deadline) {
  std::string Shown;
  while (true) {
    const auto Answer =
        Client.call({.m_Method = "GET", .m_Path = StatusPath}, Deadline);
    if (Answer) {
      const std::string Line = Answer->isSuccess()
                                   ? describeStatus(Answer->m_Body)
                                   : Answer->reason();
      if (Line != Shown)
        fmt::print(stderr, "{}\n", Line);
      Shown = Line;
      if (Answer->isSuccess() && Answer->m_Body.value("in_force", false))
        return true;
    }
    if (app::monotonicNow() + PollPause >= Deadline)
      return false;
    absl::SleepFor(PollPause);
  }
}

std::string statusPathOf(std::uint64_t Revision) {
  return fmt::format("/v1/status?revision={}", Revision);
}

std::string describeStatus(const nlohmann::json &Status) {
  std::string Line = fmt::format("revision {}: applied by {} of {} daemons",
                                 Status.value("revision", std::uint64_t{0}),
                                 Status.value("applied", std::uint64_t{0}),
                                 Status.value("members", std::uint64_t{0}));
  const nlohmann::json Behind = Status.value("behind", nlohmann::json::array());
  if (!Behind.empty())
    Line += ", behind:";
  for (const nlohmann::json &Each : Behind)
    Line += " " + Each.get<std::string>();
  if (const auto Unknown = Status.value("unknown", std::uint64_t{0}))
    Line += fmt::format(", no word from {}", Unknown);
  return Line;
}

} // namespace knapweedloft
