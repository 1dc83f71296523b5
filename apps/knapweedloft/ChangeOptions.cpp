#include "ChangeOptions.h"

#include "ApiClient.h"

#include <fmt/format.h>

namespace knapweedloft {

void addChangeOptions(CLI::App &Command, ChangeOptions &Options,
                      bool MayCreate) {
  auto *IfRevision = Command
                         .add_option("--if-revision", Options.m_IfRevision,
                                     "only if the resource has this revision")
                         ->type_name("REVISION");
  if (MayCreate)
    Command
        .add_flag("--if-new", Options.m_IfNew,
                  "only if the resource does not exist")
        ->excludes(IfRevision);
  Command
      .add_option("--change-id", Options.m_ChangeId,
                  "names the change, so that it can be repeated without being "
                  "made twice; made here if it is left out")
      ->type_name("ID");
  Command
      .add_option("--until", Options.m_Until,
                  "wait until every daemon applies the change")
      ->check(CLI::IsMember({"in-force"}));
}

http::HeaderList headersOf(const ChangeOptions &Options) {
  http::HeaderList Headers;
  if (Options.m_IfRevision)
    Headers.push_back(
        {"If-Match", fmt::format("\"{}\"", *Options.m_IfRevision)});
  if (Options.m_IfNew)
    Headers.push_back({"If-None-Match", "*"});
  const bool IsGiven = !Options.m_ChangeId.empty();
  // One id may name the changes of several resources.
  Headers.push_back(
      {"Change-Id", IsGiven ? Options.m_ChangeId : makeChangeId()});
  return Headers;
}

} // namespace knapweedloft
