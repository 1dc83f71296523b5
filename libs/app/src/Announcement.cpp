#include "app/Announcement.h"

#include "app/AppError.h"

#include "fmt/format.h"
#include "nlohmann/json.hpp"

#include <arpa/inet.h>

namespace knapweedloft::app {
namespace {

constexpr std::size_t MaxServiceLength = 64;

bool isLoopback(const std::string &Address) {
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.c_str(), &Parsed) == 1)
    return (ntohl(Parsed.s_addr) >> 24) == 127;
  return Address == "::1";
}

const nlohmann::json &field(const nlohmann::json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end())
    throw AppError(fmt::format("announcement: '{}' is missing", Name));
  return *Found;
}

std::string textField(const nlohmann::json &Object, const char *Name) {
  const nlohmann::json &Value = field(Object, Name);
  if (!Value.is_string())
    throw AppError(fmt::format("announcement: '{}' must be a string", Name));
  return Value.get<std::string>();
}

std::uint16_t portField(const nlohmann::json &Object) {
  const nlohmann::json &Value = field(Object, "port");
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() == 0 ||
      Value.get<std::uint64_t>() > UINT16_MAX)
    throw AppError("announcement: 'port' must be from 1 to 65535");
  return Value.get<std::uint16_t>();
}

TargetState stateField(const nlohmann::json &Object) {
  if (!Object.contains("state"))
    return TargetState::Ready;
  auto State = TargetStateNames.valueOf(textField(Object, "state"));
  if (!State)
    throw AppError("announcement: 'state' must be starting, ready or draining");
  return *State;
}

std::uint64_t instanceField(const nlohmann::json &Object) {
  auto Found = Object.find("instance");
  if (Found == Object.end())
    return 0;
  if (!Found->is_number_unsigned())
    throw AppError("announcement: 'instance' must be a whole number");
  return Found->get<std::uint64_t>();
}

} // namespace

Announcement announcementFromJson(std::string_view Text) {
  auto Object = nlohmann::json::parse(Text, nullptr, false);
  if (!Object.is_object())
    throw AppError("announcement: not a JSON object");
  Announcement News;
  News.m_Service = textField(Object, "service");
  if (News.m_Service.empty() || News.m_Service.size() > MaxServiceLength)
    throw AppError("announcement: 'service' must have 1 to 64 characters");
  News.m_At.m_Address = textField(Object, "address");
  if (!isLoopback(News.m_At.m_Address))
    throw AppError("announcement: 'address' must be a loopback IP");
  News.m_At.m_Port = portField(Object);
  News.m_State = stateField(Object);
  News.m_Instance = instanceField(Object);
  return News;
}

} // namespace knapweedloft::app
