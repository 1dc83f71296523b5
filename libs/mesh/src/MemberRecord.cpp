#include "mesh/MemberRecord.h"

#include "nlohmann/json.hpp"

namespace knapweedloft::mesh {

std::string toRecordText(const model::Member &Member) {
  nlohmann::json Text = {{"name", Member.m_Name},
                         {"incarnation", Member.m_Incarnation},
                         {"address", Member.m_Link.m_Address},
                         {"port", Member.m_Link.m_Port},
                         {"region", Member.m_Region},
                         {"data_center", Member.m_DataCenter},
                         {"service", Member.m_Service}};
  return Text.dump();
}

std::optional<model::Member> memberFromRecord(std::string_view Text) {
  try {
    nlohmann::json Parsed = nlohmann::json::parse(Text);
    model::Member Member;
    Member.m_Name = Parsed.at("name").get<std::string>();
    Member.m_Incarnation = Parsed.at("incarnation").get<std::uint64_t>();
    Member.m_Link = {Parsed.at("address").get<std::string>(),
                     Parsed.at("port").get<std::uint16_t>()};
    Member.m_Region = Parsed.at("region").get<std::string>();
    Member.m_DataCenter = Parsed.at("data_center").get<std::string>();
    Member.m_Service = Parsed.at("service").get<std::string>();
    return Member;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace knapweedloft::mesh
