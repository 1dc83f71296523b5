#include "mesh/MemberRecord.h"

#include "mesh/JsonValues.h"

#include "nlohmann/json.hpp"

#include <arpa/inet.h>
#include <cstdint>
#include <limits>

namespace knapweedloft::mesh {
namespace {

/// Of names; more than any that a platform gives.
constexpr std::size_t MaxNameBytes = 255;

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes;
}

bool isAddress(const std::string &Text) {
  in6_addr Parsed{};
  return ::inet_pton(AF_INET, Text.c_str(), &Parsed) == 1 ||
         ::inet_pton(AF_INET6, Text.c_str(), &Parsed) == 1;
}

bool isUsable(const model::Member &Member) {
  return isName(Member.m_Name) && isName(Member.m_DataCenter) &&
         isName(Member.m_Service) && Member.m_Region.size() <= MaxNameBytes &&
         Member.m_Incarnation != 0 && Member.m_Link.m_Port != 0 &&
         isAddress(Member.m_Link.m_Address);
}

} // namespace

std::string toRecordText(const model::Member &Member) {
  nlohmann::json Text = {{"name", Member.m_Name},
                         {"incarnation", Member.m_Incarnation},
                         {"address", Member.m_Link.m_Address},
                         {"port", Member.m_Link.m_Port},
                         {"region", Member.m_Region},
                         {"data_center", Member.m_DataCenter},
                         {"service", Member.m_Service}};
  return toJsonText(Text);
}

std::optional<model::Member> memberFromRecord(std::string_view Text) {
  try {
    nlohmann::json Parsed = nlohmann::json::parse(Text);
    model::Member Member;
    Member.m_Name = Parsed.at("name").get<std::string>();
    constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
    // 0 is no incarnation and no port.
    Member.m_Incarnation = wholeNumber(Parsed.at("incarnation")).value_or(0);
    Member.m_Link = {Parsed.at("address").get<std::string>(),
                     static_cast<std::uint16_t>(
                         wholeNumber(Parsed.at("port"), MaxPort).value_or(0))};
    Member.m_Region = Parsed.at("region").get<std::string>();
    Member.m_DataCenter = Parsed.at("data_center").get<std::string>();
    Member.m_Service = Parsed.at("service").get<std::string>();
    if (!isUsable(Member))
      return std::nullopt;
    return Member;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace knapweedloft::mesh
