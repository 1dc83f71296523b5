#include "http/HttpMessage.h"

#include <strings.h>

namespace knapweedloft::http {

bool isSameName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

const std::string *findHeader(const HeaderList &Headers,
                              std::string_view Name) {
  for (const HeaderField &Field : Headers)
    if (isSameName(Field.m_Name, Name))
      return &Field.m_Value;
  return nullptr;
}

void removeHeader(HeaderList &Headers, std::string_view Name) {
  std::erase_if(Headers, [&](const HeaderField &Field) {
    return isSameName(Field.m_Name, Name);
  });
}

} // namespace knapweedloft::http
