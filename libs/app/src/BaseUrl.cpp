#include "app/BaseUrl.h"

#include "fmt/format.h"

namespace knapweedloft::app {

std::string toBaseUrl(const model::Endpoint &At) {
  bool IsV6 = At.m_Address.find(':') != std::string::npos;
  return IsV6 ? fmt::format("http://[{}]:{}", At.m_Address, At.m_Port)
              : fmt::format("http://{}:{}", At.m_Address, At.m_Port);
}

} // namespace knapweedloft::app
