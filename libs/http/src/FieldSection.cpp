#include "FieldSection.h"

#include "FieldGrammar.h"

#include <string>

namespace knapweedloft::http {

FieldSection::Progress FieldSection::read(char Byte) {
  switch (m_Place) {
  case Place::LineStart:
    if (Byte == '\n')
      return Progress::Whole;
    if (Byte == '\r') {
      m_Place = Place::LastEnd;
      return Progress::Unfinished;
    }
    if (!isTokenCharacter(Byte))
      return Progress::Malformed;
    m_Fields.emplace_back().m_Name += Byte;
    m_Place = Place::Name;
    return Progress::Unfinished;
  case Place::Name:
    return readName(Byte);
  case Place::ValueStart:
  case Place::Value:
    return readValue(Byte);
  case Place::LineEnd:
    m_Place = Place::LineStart;
    return Byte == '\n' ? Progress::Unfinished : Progress::Malformed;
  case Place::LastEnd:
    break;
  }
  return Byte == '\n' ? Progress::Whole : Progress::Malformed;
}

FieldSection::Progress FieldSection::readName(char Byte) {
  if (Byte == ':')
    m_Place = Place::ValueStart;
  else if (isTokenCharacter(Byte))
    m_Fields.back().m_Name += Byte;
  else
    return Progress::Malformed;
  return Progress::Unfinished;
}

FieldSection::Progress FieldSection::readValue(char Byte) {
  if (Byte == '\r' || Byte == '\n') {
    endValue();
    m_Place = Byte == '\r' ? Place::LineEnd : Place::LineStart;
    return Progress::Unfinished;
  }
  if (!isTextCharacter(Byte))
    return Progress::Malformed;
  bool IsBlank = Byte == ' ' || Byte == '\t';
  if (m_Place == Place::ValueStart && IsBlank)
    return Progress::Unfinished;
  m_Place = Place::Value;
  m_Fields.back().m_Value += Byte;
  return Progress::Unfinished;
}

void FieldSection::endValue() {
  std::string &Value = m_Fields.back().m_Value;
  Value.erase(Value.find_last_not_of(" \t") + 1);
}

} // namespace knapweedloft::http
