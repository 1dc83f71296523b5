#include "ApiOptions.h"

#include "UsageError.h"

#include <cstdlib>
#include <fstream>

namespace knapweedloft {

void addApiOptions(CLI::App &Command, ApiOptions &Options) {
  Command
      .add_option("--api", Options.m_Apis,
                  "resource API of a daemon, by IP number; give more than one "
                  "to go on where one does not answer")
      ->required()
      ->allow_extra_args(false)
      ->type_name("ADDRESS:PORT");
  Command
      .add_option("--token-file", Options.m_TokenFile,
                  "file with the operators' token; without it the variable "
                  "KNAPWEEDLOFT_TOKEN is used")
      ->type_name("FILE");
  Command
      .add_option("--timeout", Options.m_TimeoutSeconds,
                  "seconds until the command gives up")
      ->check(CLI::Range(0.1, 86400.0))
      ->capture_default_str();
  Command.add_option("--output", Options.m_Output, "how results are printed")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
}

std::string readToken(const ApiOptions &Options) {
  if (Options.m_TokenFile.empty()) {
    const char *Token = std::getenv("KNAPWEEDLOFT_TOKEN");
    return Token == nullptr ? "" : Token;
  }
  std::ifstream File(Options.m_TokenFile);
  std::string Token;
  if (!(File >> Token))
    throw UsageError(Options.m_TokenFile + ": no token can be read from it");
  return Token;
}

} // namespace knapweedloft
