#include "ReportCommand.h"

#include "app/AppError.h"
#include "app/BurnReport.h"
#include "app/ReportText.h"
#include "http/HttpClient.h"

#include "fmt/format.h"

#include <cstdio>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedloft {
namespace {

constexpr absl::Duration AskTimeout = absl::Seconds(5);
constexpr std::size_t MaxReportBytes = std::size_t{64} << 20;

constexpr const char *Footer =
    "Examples:\n"
    "  knapweedloft report --api 127.0.0.1:8081\n"
    "  knapweedloft report --api 10.0.0.5:8081 --api 10.0.0.6:8081 "
    "--format html > burn.html\n"
    "Exit code 1: a daemon is missing from what was printed.";

enum class ReportFormat : std::uint8_t { Text, Json, Html };

struct ReportOptions {
  std::vector<std::string> m_Apis; ///< ADDRESS:PORT of each daemon's API.
  std::string m_Token;
  ReportFormat m_Format = ReportFormat::Text;
};

using Answer = std::future<http::HttpResult>;

Answer ask(http::HttpClient &Client, const std::string &Api,
           const std::string &Token) {
  http::HttpRequest Request;
  Request.m_Method = "GET";
  Request.m_Path = "/v1/burn";
  if (!Token.empty())
    Request.m_Headers.push_back({"Authorization", "Bearer " + Token});
  auto Promise = std::make_shared<std::promise<http::HttpResult>>();
  Answer Result = Promise->get_future();
  Client.send(
      "http://" + Api, std::move(Request), AskTimeout,
      [Promise](http::HttpResult Got) { Promise->set_value(std::move(Got)); });
  return Result;
}

/// \returns the report of one daemon, or nothing after saying why.
std::optional<app::BurnReport> receive(const std::string &Api, Answer &From) {
  http::HttpResult Result = From.get();
  if (Result.m_Failure != http::Failure::None) {
    fmt::print(stderr, "report: {} does not answer: {}\n", Api,
               http::FailureNames.nameOf(Result.m_Failure));
    return std::nullopt;
  }
  if (Result.m_Response.m_Status != 200) {
    fmt::print(stderr, "report: {} answers with status {}\n", Api,
               Result.m_Response.m_Status);
    return std::nullopt;
  }
  try {
    return app::burnReportFromJson(Result.m_Response.m_Body);
  } catch (const app::AppError &Error) {
    fmt::print(stderr, "report: {}: {}\n", Api, Error.what());
    return std::nullopt;
  }
}

void print(const app::BurnReport &Report, ReportFormat Format) {
  switch (Format) {
  case ReportFormat::Text:
    fmt::print("{}", app::toText(Report));
    break;
  case ReportFormat::Json:
    fmt::print("{}\n", app::toJson(Report));
    break;
  case ReportFormat::Html:
    fmt::print("{}", app::toHtml(Report));
    break;
  }
}

/// Adds \p One, from \p Api, to \p Sum.
void mergeInto(app::BurnReport &Sum, const app::BurnReport &One,
               const std::string &Api) {
  if (One.m_Objective != Sum.m_Objective)
    fmt::print(stderr,
               "report: {} has other objectives than the first daemon; its "
               "slow requests are counted by its own\n",
               Api);
  Sum.merge(One);
}

void report(const ReportOptions &Options) {
  http::HttpClient Client({.m_MaxBodyBytes = MaxReportBytes});
  std::vector<Answer> Answers;
  for (const std::string &Api : Options.m_Apis)
    Answers.push_back(ask(Client, Api, Options.m_Token));
  std::optional<app::BurnReport> Sum;
  std::size_t Missing = 0;
  for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
    auto One = receive(Options.m_Apis[Index], Answers[Index]);
    if (!One)
      ++Missing;
    else if (Sum)
      mergeInto(*Sum, *One, Options.m_Apis[Index]);
    else
      Sum = std::move(One);
  }
  if (!Sum)
    throw app::AppError("no daemon gave a report");
  print(*Sum, Options.m_Format);
  if (Missing > 0)
    throw app::AppError(
        fmt::format("daemons missing from the report: {}", Missing));
}

} // namespace

void addReportCommand(CLI::App &Program) {
  CLI::App *Command = Program.add_subcommand(
      "report", "Show service-level burn, worst-served customers, refusals");
  auto Options = std::make_shared<ReportOptions>();
  Command->footer(Footer);
  Command
      ->add_option("--api", Options->m_Apis,
                   "API of a daemon, by IP number; give every daemon that is "
                   "to be counted")
      ->required()
      ->type_name("ADDRESS:PORT");
  Command->add_option("--token", Options->m_Token, "operators' token")
      ->envname("KNAPWEEDLOFT_TOKEN")
      ->type_name("TOKEN");
  const std::map<std::string, ReportFormat> Formats = {
      {"text", ReportFormat::Text},
      {"json", ReportFormat::Json},
      {"html", ReportFormat::Html}};
  Command
      ->add_option("--format", Options->m_Format,
                   "text (default), json or html")
      ->transform(CLI::CheckedTransformer(Formats, CLI::ignore_case))
      ->type_name("FORMAT");
  Command->callback([Options] { report(*Options); });
}

} // namespace knapweedloft
