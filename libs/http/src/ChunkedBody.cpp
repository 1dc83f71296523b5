#include "ChunkedBody.h"

#include "FieldGrammar.h"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace knapweedloft::http {
namespace {

constexpr unsigned BitsPerDigit = 4;

unsigned digitValue(char Digit) {
  if (absl::ascii_isdigit(Digit))
    return static_cast<unsigned>(Digit - '0');
  return static_cast<unsigned>(absl::ascii_tolower(Digit) - 'a') + 10;
}

} // namespace

std::string_view ChunkedBody::read(std::string_view &Bytes) {
  while (!Bytes.empty() && !isWhole() && m_Fault == AnswerFault::None) {
    if (m_Place == Place::Content) {
      std::string_view Content =
          Bytes.substr(0, std::min<std::uint64_t>(m_Left, Bytes.size()));
      Bytes.remove_prefix(Content.size());
      m_Left -= Content.size();
      if (m_Left == 0)
        m_Place = Place::ContentEnd;
      return Content;
    }
    readByte(Bytes.front());
    Bytes.remove_prefix(1);
  }
  return {};
}

void ChunkedBody::readByte(char Byte) {
  ++m_LineBytes;
  switch (m_Place) {
  case Place::SizeStart:
    m_LineBytes = 1;
    m_Place = Place::Size;
    return absl::ascii_isxdigit(Byte) ? readSize(Byte) : fail();
  case Place::Size:
    return absl::ascii_isxdigit(Byte) ? readSize(Byte) : endSize(Byte);
  case Place::SizeBlank:
    return endSize(Byte);
  case Place::Extension:
    return readExtension(Byte);
  case Place::SizeEnd:
    return expect(Byte, '\n', m_Left == 0 ? Place::Trailer : Place::Content);
  case Place::ContentEnd:
    return expect(Byte, '\r', Place::ContentLineEnd);
  case Place::ContentLineEnd:
    return expect(Byte, '\n', Place::SizeStart);
  case Place::Trailer:
    return readTrailer(Byte);
  case Place::Content:
  case Place::End:
    break;
  }
}

void ChunkedBody::readSize(char Byte) {
  if (m_Left > UINT64_MAX >> BitsPerDigit)
    return fail();
  m_Left = (m_Left << BitsPerDigit) | digitValue(Byte);
}

void ChunkedBody::endSize(char Byte) {
  if (Byte == ' ' || Byte == '\t')
    m_Place = Place::SizeBlank;
  else if (Byte == ';')
    m_Place = Place::Extension;
  else
    expect(Byte, '\r', Place::SizeEnd);
}

void ChunkedBody::readExtension(char Byte) {
  if (!isTextCharacter(Byte))
    expect(Byte, '\r', Place::SizeEnd);
}

void ChunkedBody::readTrailer(char Byte) {
  switch (m_Trailer.read(Byte)) {
  case FieldSection::Progress::Unfinished:
    break;
  case FieldSection::Progress::Malformed:
    m_Fault = AnswerFault::Fields;
    break;
  case FieldSection::Progress::Whole:
    m_Place = Place::End;
    break;
  }
}

void ChunkedBody::expect(char Byte, char Wanted, Place Next) {
  if (Byte == Wanted)
    m_Place = Next;
  else
    fail();
}

void ChunkedBody::fail() { m_Fault = AnswerFault::Chunks; }

} // namespace knapweedloft::http
