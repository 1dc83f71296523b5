#include "DeleteCommand.h"

#include "ApiClient.h"
#include "ChangeOptions.h"
#include "ChangeReport.h"
#include "InForce.h"
#include "Output.h"
#include "ResourceInput.h"
#include "app/Clock.h"

#include <fmt/format.h>

#include <memory>
#include <string>

namespace knapweedloft {
namespace {

struct DeleteOptions {
  ApiOptions m_Api;
  ChangeOptions m_Change;
  std::string m_Kind;
  std::string m_Name;
};

ExitCode runDelete(const DeleteOptions &Options) {
  checkKind(Options.m_Kind);
  ApiClient Client(Options.m_Api);
  const absl::Time Deadline = app::monotonicNow() + Options.m_Api.timeout();
  const ResourceInput Input{.m_Kind = Options.m_Kind, .m_Name = Options.m_Name};
  const http::HttpRequest Request{.m_Method = "DELETE",
                                  .m_Path = Input.path(),
                                  .m_Headers = headersOf(Options.m_Change)};
  const auto Answer = Client.change(Request, Deadline);
  const ExitCode Code = reportChange(
      Answer, Request, Options.m_Kind + " " + Options.m_Name, Client);
  if (Code != ExitCode::Ok)
    return Code;
  const auto Revision = Answer->m_Body.value("revision", std::uint64_t{0});
  if (Options.m_Api.isJson())
    printJson(Answer->m_Body);
  else
    fmt::print("{} {} deleted revision {}\n", Options.m_Kind, Options.m_Name,
               Revision);
  if (Options.m_Change.m_Until.empty())
    return ExitCode::Ok;
  return awaitInForce(Client, statusPathOf(Revision), Deadline)
             ? ExitCode::Ok
             : ExitCode::NotInTime;
}

} // namespace

void addDeleteCommand(CLI::App &App) {
  auto Options = std::make_shared<DeleteOptions>();
  CLI::App *Command = App.add_subcommand("delete", "Delete a resource");
  Command->footer("Example, to withdraw a key and wait until it is withdrawn "
                  "everywhere:\n"
                  "  knapweedloft delete --api 127.0.0.1:8081 keys acme-1 "
                  "--until in-force");
  addApiOptions(*Command, Options->m_Api);
  addChangeOptions(*Command, Options->m_Change, false);
  Command->add_option("kind", Options->m_Kind, "kind of resource")->required();
  Command->add_option("name", Options->m_Name, "its name")->required();
  Command->callback([Options] { throw Exit{runDelete(*Options)}; });
}

} // namespace knapweedloft
