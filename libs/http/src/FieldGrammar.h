#ifndef KNAPWEEDLOFT_HTTP_FIELDGRAMMAR_H
#define KNAPWEEDLOFT_HTTP_FIELDGRAMMAR_H

namespace knapweedloft::http {

/// \returns whether \p Character may stand in a token, such as the name of a
/// field (RFC 9110, section 5.6.2).
[[nodiscard]] constexpr bool isTokenCharacter(char Character) {
  if ((Character >= 'a' && Character <= 'z') ||
      (Character >= 'A' && Character <= 'Z') ||
      (Character >= '0' && Character <= '9'))
    return true;
  switch (Character) {
  case '!':
  case '#':
  case '$':
  case '%':
  case '&':
  case '\'':
  case '*':
  case '+':
  case '-':
  case '.':
  case '^':
  case '_':
  case '`':
  case '|':
  case '~':
    return true;
  default:
    return false;
  }
}

/// \returns whether \p Character may stand in the value of a field or in a
/// reason phrase (RFC 9110, section 5.5): no control byte but the tab.
[[nodiscard]] constexpr bool isTextCharacter(char Character) {
  constexpr unsigned char Delete = 127;
  auto Byte = static_cast<unsigned char>(Character);
  return (Byte >= ' ' && Byte != Delete) || Byte == '\t';
}

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_FIELDGRAMMAR_H
