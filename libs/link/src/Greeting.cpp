#include "Greeting.h"

namespace knapweedloft::link {

wire::HelloT helloOf(const model::Member &Self, absl::Time Now) {
  wire::HelloT Hello;
  Hello.protocol = ProtocolNumber;
  Hello.name = Self.m_Name;
  Hello.incarnation = Self.m_Incarnation;
  Hello.region = Self.m_Region;
  Hello.data_center = Self.m_DataCenter;
  Hello.service = Self.m_Service;
  Hello.address = Self.m_Link.m_Address;
  Hello.port = Self.m_Link.m_Port;
  Hello.now_us = static_cast<std::uint64_t>(absl::ToUnixMicros(Now));
  return Hello;
}

model::Member memberOf(const wire::HelloT &Hello) {
  return {.m_Name = Hello.name,
          .m_Incarnation = Hello.incarnation,
          .m_Link = {Hello.address, Hello.port},
          .m_Region = Hello.region,
          .m_DataCenter = Hello.data_center,
          .m_Service = Hello.service};
}

} // namespace knapweedloft::link
