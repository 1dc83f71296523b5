#include "app/SettingsFile.h"

#include "SettingsReader.h"

#include "fmt/format.h"
#include "fmt/ranges.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace knapweedloft::app {
namespace {

/// toml11 explains itself over several lines; the first says what and the
/// excerpt below it says where.
std::string firstLine(std::string_view Text) {
  return std::string(Text.substr(0, Text.find('\n')));
}

toml::value parse(std::istream &Input, const std::string &Name) {
  try {
    return toml::parse(Input, Name);
  } catch (const toml::exception &Error) {
    throw SettingsError(fmt::format("{}: line {}: {}; allowed: TOML 1.0", Name,
                                    Error.location().line(),
                                    firstLine(Error.what())));
  } catch (const std::exception &Error) {
    throw SettingsError(fmt::format("{}: {}; allowed: TOML 1.0", Name,
                                    firstLine(Error.what())));
  }
}

bool isLoopback(const std::string &Address) {
  return Address.starts_with("127.") || Address == "::1";
}

/// Relations between keys.
void checkTogether(const Settings &Values, const SettingsReader &Reader) {
  if (Values.m_Link.m_SilentAfter < 2 * Values.m_Link.m_HeartbeatInterval)
    Reader.fail("link.silent_after_ms", "too short",
                "at least twice link.heartbeat_interval_ms");
  if (Values.m_Limits.m_DefaultTimeout > Values.m_Limits.m_MaxTimeout)
    Reader.fail("limits.default_timeout_ms", "too long",
                "at most limits.max_timeout_ms");
  if (Values.m_Link.m_MaxFrameBytes / 2 < Values.m_Caller.m_MaxBodyBytes)
    Reader.fail("caller.max_body_bytes", "too large",
                "at most half of link.max_frame_bytes");
  if (!isLoopback(Values.m_Api.m_Address) && Values.m_Api.m_Token.empty())
    Reader.fail("api.token", "missing",
                "a token, unless api.address is on loopback");
}

/// Prints every key for visitSettings().
class SettingsPrinter {
public:
  void table(std::string_view Name, bool IsOptional = false) {
    m_IsSkipped = IsOptional;
    if (!m_IsSkipped)
      m_Text += fmt::format("{}[{}]\n", m_Text.empty() ? "" : "\n", Name);
  }
  void name(std::string_view Key, const std::string &Value, Presence) {
    line(Key, fmt::format("\"{}\"", Value));
  }
  void secret(std::string_view Key, const std::string &Value) {
    if (!m_IsSkipped)
      m_Text +=
          fmt::format("# {} is {}\n", Key, Value.empty() ? "not set" : "set");
  }
  void address(std::string_view Key, const std::string &Value, Presence) {
    line(Key, fmt::format("\"{}\"", Value));
  }
  void port(std::string_view Key, std::uint16_t Value, std::int64_t, Presence) {
    line(Key, fmt::format("{}", Value));
  }
  void count(std::string_view Key, std::uint32_t Value, std::int64_t,
             std::int64_t) {
    line(Key, fmt::format("{}", Value));
  }
  void duration(std::string_view Key, absl::Duration Value, absl::Duration,
                absl::Duration) {
    line(Key, fmt::format("{}", absl::ToInt64Milliseconds(Value)));
  }
  void share(std::string_view Key, double Value) {
    line(Key, fmt::format("{}", Value));
  }
  void endpoints(std::string_view Key,
                 const std::vector<model::Endpoint> &Values) {
    std::vector<std::string> Texts;
    for (const model::Endpoint &Each : Values) {
      const bool IsIpv6 = Each.m_Address.find(':') != std::string::npos;
      const std::string Host =
          IsIpv6 ? "[" + Each.m_Address + "]" : Each.m_Address;
      Texts.push_back(fmt::format("\"{}:{}\"", Host, Each.m_Port));
    }
    line(Key, fmt::format("[{}]", fmt::join(Texts, ", ")));
  }
  void level(std::string_view Key, LogLevel Value) {
    line(Key, fmt::format("\"{}\"", LogLevelNames.nameOf(Value)));
  }

  std::string m_Text;

private:
  void line(std::string_view Key, std::string_view Value) {
    if (!m_IsSkipped)
      m_Text += fmt::format("{} = {}\n", Key, Value);
  }

  bool m_IsSkipped = false;
};

} // namespace

Settings readSettings(std::istream &Input, const std::string &Name) {
  toml::value Root = parse(Input, Name);
  SettingsReader Reader(Root, Name);
  Settings Values;
  visitSettings(Values, Reader);
  Reader.finish();
  checkTogether(Values, Reader);
  return Values;
}

Settings loadSettings(const std::string &Path) {
  errno = 0;
  std::ifstream Input(Path, std::ios::binary);
  // A folder opens like a file and fails at the first byte.
  if (!Input || Input.peek() == std::ifstream::traits_type::eof())
    throw SettingsError(
        fmt::format("{}: cannot be read ({}); allowed: a "
                    "readable TOML file that is not empty",
                    Path, errno != 0 ? std::strerror(errno) : "empty"));
  return readSettings(Input, Path);
}

std::string formatSettings(const Settings &Values) {
  SettingsPrinter Printer;
  visitSettings(Values, Printer);
  return Printer.m_Text;
}

} // namespace knapweedloft::app
