#ifndef KNAPWEEDLOFT_HTTP_CHUNKEDBODY_H
#define KNAPWEEDLOFT_HTTP_CHUNKEDBODY_H

#include "FieldSection.h"
#include "http/AnswerFault.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace knapweedloft::http {

/// Takes the content out of a body in chunks (RFC 9112, section 7.1). Chunk
/// extensions are ignored, the fields of a trailer are checked and dropped.
class ChunkedBody {
public:
  /// Reads from the begin of \p Bytes until it comes to content, to a fault, to
  /// the end of the body or to the end of the bytes, and takes them off.
  /// \returns the content that it came to; empty in all other cases.
  std::string_view read(std::string_view &Bytes);

  [[nodiscard]] AnswerFault fault() const { return m_Fault; }
  [[nodiscard]] bool isWhole() const { return m_Place == Place::End; }
  /// \returns how many bytes the line of the present chunk, or the trailer
  /// section, has so far.
  [[nodiscard]] std::size_t lineBytes() const { return m_LineBytes; }

private:
  enum class Place : std::uint8_t {
    SizeStart,
    Size,
    SizeBlank, ///< Behind blanks, which may stand before an extension.
    Extension,
    SizeEnd, ///< Behind the carriage return of a chunk's size.
    Content,
    ContentEnd,
    ContentLineEnd,
    Trailer,
    End
  };

  void readByte(char Byte);
  void readSize(char Byte);
  void endSize(char Byte);
  void readExtension(char Byte);
  void readTrailer(char Byte);
  void expect(char Byte, char Wanted, Place Next);
  void fail();

  FieldSection m_Trailer;
  std::uint64_t m_Left = 0; ///< Of the chunk.
  std::size_t m_LineBytes = 0;
  Place m_Place = Place::SizeStart;
  AnswerFault m_Fault = AnswerFault::None;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CHUNKEDBODY_H
