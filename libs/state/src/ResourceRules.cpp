#include "state/ResourceRules.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace knapweedloft::state {
namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxDisplayNameBytes = 128;
constexpr std::size_t MaxReasonBytes = 256;
constexpr std::size_t MaxPathPrefixBytes = 512;
constexpr double MaxRatePerSecond = 1e7;
constexpr double MinRatePerSecond = 1e-3;
constexpr double MaxBurst = 1e8;
constexpr absl::Duration MinTimeout = absl::Milliseconds(1);
constexpr absl::Duration MaxTimeout = absl::Hours(1);
constexpr std::string_view NameRule = "1 to 64 of a-z, 0-9 and -";
constexpr std::array<std::string_view, 8> Methods{
    "", "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

using Fault = std::optional<FieldFault>;

FieldFault fault(std::string_view Field, std::string_view Allowed) {
  return {std::string(Field), std::string(Allowed)};
}

bool isNameLetter(char Letter) {
  return (Letter >= 'a' && Letter <= 'z') || (Letter >= '0' && Letter <= '9') ||
         Letter == '-';
}

bool isPathLetter(char Letter) {
  return Letter > ' ' && Letter < 0x7f && Letter != '?' && Letter != '#';
}

bool isText(std::string_view Text, std::size_t MaxBytes) {
  return Text.size() <= MaxBytes &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return Letter < ' ' || Letter == 0x7f;
         });
}

bool isWithin(double Value, double Least, double Most) {
  return std::isfinite(Value) && Value >= Least && Value <= Most;
}

Fault faultOf(const model::Customer &What) {
  if (!isText(What.m_DisplayName, MaxDisplayNameBytes))
    return fault("display_name", "text of 128 bytes at most");
  return std::nullopt;
}

Fault faultOf(const model::Key &What) {
  if (!isName(What.m_Customer))
    return fault("customer", NameRule);
  return std::nullopt;
}

Fault faultOf(const model::Rate &What) {
  if (!isWithin(What.m_PerSecond, MinRatePerSecond, MaxRatePerSecond))
    return fault("per_second", "a number from 0.001 to 10000000");
  if (!isWithin(What.m_Burst, 1, MaxBurst))
    return fault("burst", "a number from 1 to 100000000");
  return std::nullopt;
}

Fault faultOf(const model::Route &What) {
  const std::string &Prefix = What.m_PathPrefix;
  if (!Prefix.starts_with('/') || Prefix.size() > MaxPathPrefixBytes ||
      !std::all_of(Prefix.begin(), Prefix.end(), isPathLetter))
    return fault("path_prefix",
                 "a path that starts with /, without query, 512 bytes at most");
  if (std::find(Methods.begin(), Methods.end(), What.m_Method) == Methods.end())
    return fault("method", "GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS or "
                           "empty for all");
  if (!isName(What.m_Service))
    return fault("service", NameRule);
  if (What.m_Timeout < MinTimeout || What.m_Timeout > MaxTimeout)
    return fault("timeout_ms", "a number from 1 to 3600000");
  return std::nullopt;
}

Fault faultOf(const model::Withdrawal &What) {
  if (!isName(What.m_Subject))
    return fault("subject", NameRule);
  return std::nullopt;
}

Fault faultOf(const model::Quarantine &What) {
  if (What.m_Name != fmt::format("{:016x}", What.m_Fingerprint))
    return fault("name", "the fingerprint as 16 hexadecimal digits");
  if (!isText(What.m_Reason, MaxReasonBytes))
    return fault("reason", "text of 256 bytes at most");
  return std::nullopt;
}

bool isIpAddress(const std::string &Text) {
  std::array<std::uint8_t, sizeof(in6_addr)> Parsed{};
  return inet_pton(AF_INET, Text.c_str(), Parsed.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Parsed.data()) == 1;
}

} // namespace

Fault findFault(const model::Resource &What) {
  if (!isName(model::nameOf(What)))
    return fault("name", NameRule);
  return std::visit([](const auto &One) { return faultOf(One); }, What);
}

bool isName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), isNameLetter);
}

bool isWellFormed(const model::Member &Who) {
  return isName(Who.m_Name) && Who.m_Incarnation != 0 &&
         isIpAddress(Who.m_Link.m_Address) && isName(Who.m_Region) &&
         isName(Who.m_DataCenter) &&
         (Who.m_Service.empty() || isName(Who.m_Service));
}

} // namespace knapweedloft::state
