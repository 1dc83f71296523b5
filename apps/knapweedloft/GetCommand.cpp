#include "GetCommand.h"

#include "ApiClient.h"
#include "ChangeReport.h"
#include "InForce.h"
#include "Output.h"
#include "ResourceInput.h"
#include "app/Clock.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace knapweedloft {
namespace {

struct GetOptions {
  ApiOptions m_Api;
  std::string m_Kind;
  std::string m_Name;
  bool m_IsStatus = false;
};

std::string pathOf(const GetOptions &Options) {
  std::string Path = "/v1/" + Options.m_Kind;
  if (!Options.m_Name.empty())
    Path += "/" + Options.m_Name;
  if (Options.m_IsStatus)
    Path += "/status";
  return Path;
}

void print(const GetOptions &Options, const nlohmann::json &Body) {
  if (Options.m_Api.isJson())
    return printJson(Body);
  if (Options.m_IsStatus)
    return fmt::print("{}\n", describeStatus(Body));
  if (!Body.contains("items"))
    return printTable({Body});
  printTable(Body["items"].get<std::vector<nlohmann::json>>());
}

ExitCode runGet(const GetOptions &Options) {
  checkKind(Options.m_Kind);
  ApiClient Client(Options.m_Api);
  const auto Answer =
      Client.call({.m_Method = "GET", .m_Path = pathOf(Options)},
                  app::monotonicNow() + Options.m_Api.timeout());
  const ExitCode Code =
      reportAnswer(Answer, Options.m_Kind + " " + Options.m_Name);
  if (Code == ExitCode::Ok)
    print(Options, Answer->m_Body);
  return Code;
}

} // namespace

void addGetCommand(CLI::App &App) {
  auto Options = std::make_shared<GetOptions>();
  CLI::App *Command = App.add_subcommand("get", "Print resources");
  Command->footer("Examples:\n"
                  "  knapweedloft get --api 127.0.0.1:8081 customers\n"
                  "  knapweedloft get --api 127.0.0.1:8081 keys acme-1 "
                  "--status");
  addApiOptions(*Command, Options->m_Api);
  Command->add_option("kind", Options->m_Kind, "kind of resource")->required();
  auto *Name = Command->add_option("name", Options->m_Name, "name of one");
  Command
      ->add_flag("--status", Options->m_IsStatus,
                 "how many daemons apply it, and who is behind")
      ->needs(Name);
  Command->callback([Options] { throw Exit{runGet(*Options)}; });
}

} // namespace knapweedloft
