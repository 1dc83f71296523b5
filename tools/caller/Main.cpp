#include "caller/LoadRun.h"

#include "absl/synchronization/mutex.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace {

using namespace knapweedloft;

/// Parses NAME:KEY:RATE.
caller::CallingCustomer parseCustomer(const std::string &Text,
                                      unsigned Retries) {
  std::size_t First = Text.find(':');
  std::size_t Last = Text.rfind(':');
  char *End = nullptr;
  double Rate = First == std::string::npos || First == Last
                    ? 0
                    : std::strtod(Text.c_str() + Last + 1, &End);
  if (Rate <= 0 || *End != '\0')
    throw CLI::ValidationError("--customer", "NAME:KEY:RATE is wanted");
  return {.m_Name = Text.substr(0, First),
          .m_Key = Text.substr(First + 1, Last - First - 1),
          .m_PerSecond = Rate,
          .m_Retries = Retries};
}

} // namespace

int main(int Count, char **Arguments) {
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  CLI::App App{"Sends calls at a set rate and checks the answers."};
  caller::LoadPlan Plan;
  std::vector<std::string> To;
  std::vector<std::string> Customers;
  unsigned Retries = 0;
  double Seconds = absl::ToDoubleSeconds(Plan.m_Duration);
  double TimeoutMs = absl::ToDoubleMilliseconds(Plan.m_Timeout);
  App.add_option("--to", To, "IP:PORT of daemons, taken in turn")->required();
  App.add_option("--customer", Customers, "NAME:KEY:RATE, calls a second")
      ->required();
  App.add_option("--retries", Retries, "Sent again at once if a call fails");
  App.add_option("--method", Plan.m_Method, "HTTP method");
  App.add_option("--path", Plan.m_Path, "Path and query");
  App.add_option("--body-bytes", Plan.m_BodyBytes, "Size of a request's body");
  App.add_option("--answer-bytes", Plan.m_AnswerBytes, "Size of an answer");
  App.add_option("--seconds", Seconds, "How long calls are sent");
  App.add_option("--timeout-ms", TimeoutMs, "Limit on one attempt");
  App.add_option("--seed", Plan.m_Seed, "Of the gaps between calls");
  App.add_flag("--list", Plan.m_KeepsAttempts, "List each attempt");
  try {
    App.parse(Count, Arguments);
    for (const std::string &Text : Customers)
      Plan.m_Customers.push_back(parseCustomer(Text, Retries));
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : 2;
  }
  for (const std::string &Endpoint : To)
    Plan.m_Bases.push_back("http://" + Endpoint);
  Plan.m_Duration = absl::Seconds(Seconds);
  Plan.m_Timeout = absl::Milliseconds(TimeoutMs);
  caller::LoadReport Report = caller::runLoad(Plan);
  fmt::print("{}\n", Report.toJson().dump(2));
  return Report.m_WrongAnswers == 0 ? 0 : 1;
}
