#include "app/SettingsError.h"
#include "app/SettingsFile.h"

#include <cstdint>
#include <sstream>
#include <string>

// A settings file.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace knapweedloft::app;
  std::istringstream Input(
      std::string(reinterpret_cast<const char *>(Data), Size));
  try {
    (void)formatSettings(readSettings(Input, "fuzz.toml"));
  } catch (const SettingsError &) {
    return 0;
  }
  return 0;
}
