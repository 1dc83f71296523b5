#ifndef KNAPWEEDLOFT_HTTP_FIELDSECTION_H
#define KNAPWEEDLOFT_HTTP_FIELDSECTION_H

#include "http/HttpMessage.h"

#include <cstdint>

namespace knapweedloft::http {

/// Reads a header or trailer section byte by byte, from its first field to the
/// empty line that ends it (RFC 9112, section 5).
///
/// A line may end with a line feed alone, as section 2.2 permits. A folded line
/// is malformed: section 5.2 lets a proxy refuse it.
class FieldSection {
public:
  enum class Progress : std::uint8_t { Unfinished, Whole, Malformed };

  Progress read(char Byte);

  [[nodiscard]] HeaderList &fields() { return m_Fields; }
  [[nodiscard]] const HeaderList &fields() const { return m_Fields; }

private:
  enum class Place : std::uint8_t {
    LineStart,
    Name,
    ValueStart, ///< Behind the colon, before the value.
    Value,
    LineEnd, ///< Behind the carriage return of a field.
    LastEnd  ///< Behind the carriage return of the empty line.
  };

  Progress readName(char Byte);
  Progress readValue(char Byte);
  void endValue();

  HeaderList m_Fields;
  Place m_Place = Place::LineStart;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_FIELDSECTION_H
