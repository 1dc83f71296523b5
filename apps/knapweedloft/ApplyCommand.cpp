#include "ApplyCommand.h"

#include "ApiClient.h"
#include "ChangeOptions.h"
#include "ChangeReport.h"
#include "InForce.h"
#include "Output.h"
#include "ResourceInput.h"
#include "UsageError.h"
#include "app/Clock.h"
#include "state/KeyText.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft {
namespace {

struct ApplyOptions {
  ApiOptions m_Api;
  ChangeOptions m_Change;
  std::vector<std::string> m_Files;
  std::vector<std::string> m_Arguments;
};

std::vector<ResourceInput> inputsOf(const ApplyOptions &Options) {
  if (Options.m_Files.empty())
    return {resourceFromArguments(Options.m_Arguments)};
  if (!Options.m_Arguments.empty())
    throw UsageError("give --file or KIND NAME FIELD=VALUE..., not both");
  std::vector<ResourceInput> Inputs;
  for (const std::string &Each : Options.m_Files)
    for (ResourceInput &Input : resourcesFromFile(Each))
      Inputs.push_back(std::move(Input));
  return Inputs;
}

/// A key without a digest is made here, so that its text never crosses the
/// network and a lost answer does not lose it.
/// \returns the text of the key that was made, or nothing.
std::optional<std::string> completeKey(ResourceInput &Input) {
  if (Input.m_Kind != "keys" || Input.m_Fields.contains("digest"))
    return std::nullopt;
  std::string Text = state::makeKeyText();
  Input.m_Fields["digest"] = state::hexOf(state::digestOf(Text));
  return Text;
}

/// Applies the inputs one after the other and stops at the first failure.
class ApplyRun {
public:
  explicit ApplyRun(const ApplyOptions &Options)
      : m_Options(Options), m_Client(Options.m_Api),
        m_Deadline(app::monotonicNow() + Options.m_Api.timeout()) {}

  ExitCode run(std::vector<ResourceInput> Inputs) {
    ExitCode Code = ExitCode::Ok;
    for (ResourceInput &Each : Inputs) {
      Code = applyOne(Each);
      if (Code != ExitCode::Ok)
        break;
    }
    print();
    if (Code == ExitCode::Ok && !m_Options.m_Change.m_Until.empty())
      return awaitAll();
    return Code;
  }

private:
  ExitCode applyOne(ResourceInput &Input) {
    const std::optional<std::string> KeyText = completeKey(Input);
    http::HttpRequest Request{.m_Method = "PUT",
                              .m_Path = Input.path(),
                              .m_Headers = headersOf(m_Options.m_Change),
                              .m_Body = Input.m_Fields.dump()};
    const bool IsConditional = m_Options.m_Change.m_IfRevision.has_value() ||
                               m_Options.m_Change.m_IfNew;
    // A key is not replaced by one made here unless that is asked for.
    if (KeyText && !IsConditional)
      Request.m_Headers.push_back({"If-None-Match", "*"});
    auto Answer = m_Client.change(Request, m_Deadline);
    const ExitCode Code = reportChange(
        Answer, Request, Input.m_Kind + " " + Input.m_Name, m_Client);
    if (Code != ExitCode::Ok)
      return Code;
    m_Revision = std::max(m_Revision,
                          Answer->m_Body.value("revision", std::uint64_t{0}));
    if (KeyText)
      Answer->m_Body["key"] = *KeyText;
    m_Applied.push_back(std::move(Answer->m_Body));
    return Code;
  }

  void print() const {
    if (m_Options.m_Api.isJson())
      return printJson(m_Applied);
    for (const nlohmann::json &Each : m_Applied)
      fmt::print("{} {} revision {}{}\n", Each.value("kind", ""),
                 Each.value("name", ""),
                 Each.value("revision", std::uint64_t{0}),
                 Each.contains("key") ? " key " + Each.value("key", "") : "");
  }

  ExitCode awaitAll() {
    const bool IsInForce =
        awaitInForce(m_Client, statusPathOf(m_Revision), m_Deadline);
    return IsInForce ? ExitCode::Ok : ExitCode::NotInTime;
  }

  const ApplyOptions &m_Options;
  ApiClient m_Client;
  const absl::Time m_Deadline;
  std::vector<nlohmann::json> m_Applied;
  std::uint64_t m_Revision = 0;
};

constexpr const char *Footer =
    "Examples:\n"
    "  knapweedloft apply --api 127.0.0.1:8081 customers acme\n"
    "  knapweedloft apply --api 127.0.0.1:8081 rates acme per_second=50 "
    "burst=100\n"
    "  knapweedloft apply --api 127.0.0.1:8081 keys acme-1 customer=acme\n"
    "  knapweedloft apply --api 127.0.0.1:8081 --file site.json --until "
    "in-force\n"
    "A key without a digest is made here and printed once.";

} // namespace

void addApplyCommand(CLI::App &App) {
  auto Options = std::make_shared<ApplyOptions>();
  CLI::App *Command =
      App.add_subcommand("apply", "Create or replace resources");
  Command->footer(Footer);
  addApiOptions(*Command, Options->m_Api);
  addChangeOptions(*Command, Options->m_Change, true);
  Command
      ->add_option("--file", Options->m_Files,
                   "JSON: one resource or an array, each with kind and name; "
                   "- is standard input")
      ->allow_extra_args(false)
      ->type_name("FILE");
  Command->add_option("resource", Options->m_Arguments,
                      "KIND NAME FIELD=VALUE...");
  Command->callback(
      [Options] { throw Exit{ApplyRun(*Options).run(inputsOf(*Options))}; });
}

} // namespace knapweedloft
