#include "SettingsReader.h"

#include "app/SettingsError.h"

#include "fmt/format.h"
#include "fmt/ranges.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <optional>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr std::string_view AllowedName = "1 to 64 of a-z, 0-9 and '-'";
constexpr std::string_view AllowedAddress = "an IPv4 or IPv6 number";
constexpr std::string_view AllowedSecret = "8 to 256 printable characters";
constexpr std::string_view AllowedShare =
    "a fraction above 0 and below 1, like 0.999";
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MinSecretLength = 8;
constexpr std::size_t MaxSecretLength = 256;
constexpr std::int64_t MaxPort = 65535;
constexpr std::string_view AllowedEndpoints =
    "at most 16 of \"ADDRESS:PORT\" with an IPv4 or [IPv6] number";
constexpr std::size_t MaxEndpoints = 16;

bool isNameCharacter(char Character) {
  bool IsLetter = Character >= 'a' && Character <= 'z';
  bool IsDigit = Character >= '0' && Character <= '9';
  return IsLetter || IsDigit || Character == '-';
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isSecret(const std::string &Text) {
  return Text.size() >= MinSecretLength && Text.size() <= MaxSecretLength &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character < 127;
         });
}

bool isAddress(const std::string &Text) {
  in6_addr Parsed{};
  return inet_pton(AF_INET, Text.c_str(), &Parsed) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Parsed) == 1;
}

std::optional<model::Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Address = Text.substr(0, Colon);
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  const bool IsPort =
      Parsed.ec == std::errc() && Parsed.ptr == End && Port != 0;
  if (!IsPort || !isAddress(Address))
    return std::nullopt;
  return model::Endpoint{Address, Port};
}

} // namespace

SettingsReader::SettingsReader(const toml::value &Root, std::string File)
    : m_Root(Root), m_File(std::move(File)) {}

void SettingsReader::fail(std::string_view Key, std::string_view Problem,
                          std::string_view Allowed) const {
  throw SettingsError(
      fmt::format("{}: {}: {}; allowed: {}", m_File, Key, Problem, Allowed));
}

std::string SettingsReader::qualified(std::string_view Key) const {
  return fmt::format("{}.{}", m_Table, Key);
}

void SettingsReader::table(std::string_view Name, bool IsOptional) {
  m_Table = Name;
  m_Values = nullptr;
  m_IsOptional = IsOptional;
  m_Known[m_Table];
  const toml::table &Tables = m_Root.as_table();
  auto Found = Tables.find(m_Table);
  if (Found == Tables.end())
    return;
  if (!Found->second.is_table())
    fail(m_Table, "not a table", fmt::format("a table [{}]", m_Table));
  m_Values = &Found->second.as_table();
}

const toml::value *SettingsReader::find(std::string_view Key, Presence Needed,
                                        std::string_view Allowed) {
  m_Known[m_Table].emplace_back(Key);
  if (m_Values != nullptr) {
    auto Found = m_Values->find(std::string(Key));
    if (Found != m_Values->end())
      return &Found->second;
  }
  bool MayBeAbsent = m_Values == nullptr && m_IsOptional;
  if (Needed == Presence::Required && !MayBeAbsent)
    fail(qualified(Key), "missing", Allowed);
  return nullptr;
}

const std::string *SettingsReader::findText(std::string_view Key,
                                            Presence Needed,
                                            std::string_view Allowed) {
  const toml::value *Found = find(Key, Needed, Allowed);
  if (Found == nullptr)
    return nullptr;
  if (!Found->is_string())
    fail(qualified(Key), "not a string", Allowed);
  return &Found->as_string().str;
}

void SettingsReader::name(std::string_view Key, std::string &Value,
                          Presence Needed) {
  const std::string *Text = findText(Key, Needed, AllowedName);
  if (Text == nullptr)
    return;
  if (!isName(*Text))
    fail(qualified(Key), "not a name", AllowedName);
  Value = *Text;
}

void SettingsReader::secret(std::string_view Key, std::string &Value) {
  const std::string *Text = findText(Key, Presence::Optional, AllowedSecret);
  if (Text == nullptr)
    return;
  if (!isSecret(*Text))
    fail(qualified(Key), "cannot be used", AllowedSecret);
  Value = *Text;
}

void SettingsReader::address(std::string_view Key, std::string &Value,
                             Presence Needed) {
  const std::string *Text = findText(Key, Needed, AllowedAddress);
  if (Text == nullptr)
    return;
  if (!isAddress(*Text))
    fail(qualified(Key), "not an IP address", AllowedAddress);
  Value = *Text;
}

bool SettingsReader::readInteger(std::string_view Key, Presence Needed,
                                 std::int64_t Least, std::int64_t Most,
                                 std::string_view Unit, std::int64_t &Value) {
  std::string Allowed =
      fmt::format("an integer from {} to {}{}", Least, Most, Unit);
  const toml::value *Found = find(Key, Needed, Allowed);
  if (Found == nullptr)
    return false;
  if (!Found->is_integer())
    fail(qualified(Key), "not an integer", Allowed);
  Value = Found->as_integer();
  if (Value < Least || Value > Most)
    fail(qualified(Key), fmt::format("{} is out of range", Value), Allowed);
  return true;
}

void SettingsReader::port(std::string_view Key, std::uint16_t &Value,
                          std::int64_t Least, Presence Needed) {
  std::int64_t Number = 0;
  if (readInteger(Key, Needed, Least, MaxPort, "", Number))
    Value = static_cast<std::uint16_t>(Number);
}

void SettingsReader::count(std::string_view Key, std::uint32_t &Value,
                           std::int64_t Least, std::int64_t Most) {
  std::int64_t Number = 0;
  if (readInteger(Key, Presence::Optional, Least, Most, "", Number))
    Value = static_cast<std::uint32_t>(Number);
}

void SettingsReader::duration(std::string_view Key, absl::Duration &Value,
                              absl::Duration Least, absl::Duration Most) {
  std::int64_t Number = 0;
  if (readInteger(Key, Presence::Optional, absl::ToInt64Milliseconds(Least),
                  absl::ToInt64Milliseconds(Most), " milliseconds", Number))
    Value = absl::Milliseconds(Number);
}

void SettingsReader::share(std::string_view Key, double &Value) {
  const toml::value *Found = find(Key, Presence::Optional, AllowedShare);
  if (Found == nullptr)
    return;
  if (!Found->is_floating())
    fail(qualified(Key), "not a fraction", AllowedShare);
  const double Share = Found->as_floating();
  // A NaN fails both comparisons.
  if (!(Share > 0 && Share < 1))
    fail(qualified(Key), fmt::format("{} is out of range", Share),
         AllowedShare);
  Value = Share;
}

void SettingsReader::endpoints(std::string_view Key,
                               std::vector<model::Endpoint> &Values) {
  const toml::value *Found = find(Key, Presence::Optional, AllowedEndpoints);
  if (Found == nullptr)
    return;
  if (!Found->is_array() || Found->as_array().size() > MaxEndpoints)
    fail(qualified(Key), "cannot be used", AllowedEndpoints);
  Values.clear();
  for (const toml::value &Each : Found->as_array()) {
    std::optional<model::Endpoint> Parsed;
    if (Each.is_string())
      Parsed = parseEndpoint(Each.as_string().str);
    if (!Parsed)
      fail(qualified(Key), "not an endpoint", AllowedEndpoints);
    Values.push_back(std::move(*Parsed));
  }
}

void SettingsReader::level(std::string_view Key, LogLevel &Value) {
  std::string Allowed =
      fmt::format("{}", fmt::join(LogLevelNames.m_Names, ", "));
  const std::string *Text = findText(Key, Presence::Optional, Allowed);
  if (Text == nullptr)
    return;
  std::optional<LogLevel> Parsed = LogLevelNames.valueOf(*Text);
  if (!Parsed)
    fail(qualified(Key), "not a level", Allowed);
  Value = *Parsed;
}

void SettingsReader::finish() const {
  std::vector<std::string> Tables;
  for (const auto &[Name, Keys] : m_Known)
    Tables.push_back(Name);
  for (const auto &[Name, Value] : m_Root.as_table()) {
    auto Known = m_Known.find(Name);
    if (Known == m_Known.end())
      fail(Name, "unknown table", fmt::format("{}", fmt::join(Tables, ", ")));
    for (const auto &[Key, Ignored] : Value.as_table())
      if (std::find(Known->second.begin(), Known->second.end(), Key) ==
          Known->second.end())
        fail(fmt::format("{}.{}", Name, Key), "unknown key",
             fmt::format("{}", fmt::join(Known->second, ", ")));
  }
}

} // namespace knapweedloft::app
