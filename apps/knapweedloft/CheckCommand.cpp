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
  Command->add_option("--settings", *Path, "TOML file with the settings")
      ->required()
      ->type_name("FILE");
  Command->callback([Path] {
    fmt::print("{}", app::formatSettings(app::loadSettings(*Path)));
  });
}

} // namespace knapweedloft
