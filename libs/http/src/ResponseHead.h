#ifndef KNAPWEEDLOFT_HTTP_RESPONSEHEAD_H
#define KNAPWEEDLOFT_HTTP_RESPONSEHEAD_H

#include "FieldSection.h"
#include "http/AnswerFault.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::http {

/// What ends the body of an answer (RFC 9112, section 6.3).
enum class BodyEnd : std::uint8_t {
  Head, ///< There is no body.
  Length,
  LastChunk,
  Connection
};

/// Reads the head of an answer byte by byte: its status line and its header
/// section. Whatever does not meet the grammar of RFC 9112 is a fault as soon
/// as the byte that shows it is read; nothing is read past it.
///
/// docs/design/http.md has the rules.
class ResponseHead {
public:
  /// \returns whether the head goes on or is whole; if not, fault() is set.
  bool read(char Byte);

  [[nodiscard]] AnswerFault fault() const { return m_Fault; }
  [[nodiscard]] bool isWhole() const { return m_Place == Place::End; }
  [[nodiscard]] bool hasBegun() const {
    return m_Matched > 0 || m_Place != Place::Version;
  }

  /// The rest is known once the head is whole.
  [[nodiscard]] int status() const { return m_Status; }
  [[nodiscard]] bool isInterim() const;
  [[nodiscard]] HeaderList &fields() { return m_Section.fields(); }
  [[nodiscard]] const HeaderList &fields() const { return m_Section.fields(); }
  [[nodiscard]] BodyEnd bodyEnd() const { return m_BodyEnd; }
  /// \returns the declared length of a body that ends with it.
  [[nodiscard]] std::uint64_t length() const { return m_Length; }
  /// \returns whether the connection may carry another answer after this one.
  [[nodiscard]] bool keepsOpen() const;

private:
  enum class Place : std::uint8_t {
    Version,
    MinorVersion,
    Blank, ///< Between the version and the status.
    Status,
    StatusEnd,
    Reason,
    LineEnd, ///< Behind the carriage return of the status line.
    Fields,
    End
  };

  bool readStatusLine(char Byte);
  bool readStatus(char Byte);
  bool readReason(char Byte);
  void readFraming();
  bool fail(AnswerFault Fault);

  FieldSection m_Section;
  std::uint64_t m_Length = 0;
  std::size_t m_Matched = 0; ///< Characters of the version or the status.
  int m_Status = 0;
  Place m_Place = Place::Version;
  AnswerFault m_Fault = AnswerFault::None;
  BodyEnd m_BodyEnd = BodyEnd::Connection;
  bool m_IsOldVersion = false; ///< HTTP/1.0.
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_RESPONSEHEAD_H
