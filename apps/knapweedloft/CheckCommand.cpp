#include "CheckCommand.h"

#include "app/SettingsFile.h"

#include "fmt/format.h"

#include <memory>
#include <string>

namespace knapweedloft {

void addCheckCommand(CLI::App &App) {
  auto Path = std::make_shared<std::string>();
  CLI::App *Command = App.add_subcommand(
      "check", "Check a settings file and print what would be used");
  Command->footer("Exit code 2 and one line on standard error say what is "
                  "wrong.\nExample:\n"
                  "  knapweedloft check --settings /etc/knapweedloft.toml");
  Command->add_option("--settings", *Path, "TOML file with the settings")
      ->required()
      ->type_name("FILE");
  Command->callback([Path] {
    fmt::print("{}", app::formatSettings(app::loadSettings(*Path)));
  });
}

} // namespace knapweedloft
