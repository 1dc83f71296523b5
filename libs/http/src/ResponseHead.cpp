#include "ResponseHead.h"

#include "FieldGrammar.h"

#include "absl/strings/ascii.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

namespace knapweedloft::http {
namespace {

constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::size_t StatusDigits = 3;
constexpr int MinStatus = 100;
constexpr int SwitchingProtocols = 101;
constexpr int FirstFinalStatus = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
/// RFC 9110, section 15: other codes are invalid.
constexpr int MaxStatus = 599;

/// \returns the members of the lists in all fields called \p Name, without the
/// blanks around them (RFC 9110, section 5.6.1).
std::vector<std::string_view> membersOf(const HeaderList &Fields,
                                        std::string_view Name) {
  constexpr std::string_view Blanks = " \t";
  std::vector<std::string_view> Members;
  for (const HeaderField &Field : Fields) {
    if (!isSameName(Field.m_Name, Name))
      continue;
    std::string_view Rest = Field.m_Value;
    while (true) {
      std::size_t Comma = Rest.find(',');
      std::string_view Member = Rest.substr(0, Comma);
      Member.remove_prefix(
          std::min(Member.find_first_not_of(Blanks), Member.size()));
      Members.push_back(Member.substr(0, Member.find_last_not_of(Blanks) + 1));
      if (Comma == std::string_view::npos)
        break;
      Rest.remove_prefix(Comma + 1);
    }
  }
  return Members;
}

bool hasMember(const HeaderList &Fields, std::string_view Name,
               std::string_view Wanted) {
  std::vector<std::string_view> Members = membersOf(Fields, Name);
  return std::any_of(
      Members.begin(), Members.end(),
      [&](std::string_view Member) { return isSameName(Member, Wanted); });
}

std::optional<std::uint64_t> numberOf(std::string_view Digits) {
  std::uint64_t Number = 0;
  const char *End = Digits.data() + Digits.size();
  auto Read = std::from_chars(Digits.data(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

/// \returns the number that all members of a list agree on.
std::optional<std::uint64_t>
commonNumber(const std::vector<std::string_view> &Members) {
  bool IsSame =
      std::all_of(Members.begin(), Members.end(), [&](std::string_view Member) {
        return Member == Members.front();
      });
  return Members.empty() || !IsSame ? std::nullopt : numberOf(Members.front());
}

} // namespace

bool ResponseHead::read(char Byte) {
  if (m_Place != Place::Fields)
    return readStatusLine(Byte);
  switch (m_Section.read(Byte)) {
  case FieldSection::Progress::Unfinished:
    return true;
  case FieldSection::Progress::Malformed:
    return fail(AnswerFault::Fields);
  case FieldSection::Progress::Whole:
    break;
  }
  m_Place = Place::End;
  readFraming();
  return m_Fault == AnswerFault::None;
}

bool ResponseHead::readStatusLine(char Byte) {
  switch (m_Place) {
  case Place::Version:
    if (Byte != VersionStart[m_Matched])
      return fail(AnswerFault::StatusLine);
    if (++m_Matched == VersionStart.size())
      m_Place = Place::MinorVersion;
    return true;
  case Place::MinorVersion:
    m_IsOldVersion = Byte == '0';
    m_Place = Place::Blank;
    return absl::ascii_isdigit(Byte) || fail(AnswerFault::StatusLine);
  case Place::Blank:
    m_Matched = 0;
    m_Place = Place::Status;
    return Byte == ' ' || fail(AnswerFault::StatusLine);
  case Place::Status:
    return readStatus(Byte);
  case Place::StatusEnd:
    if (Byte != ' ' && Byte != '\r' && Byte != '\n')
      return fail(AnswerFault::StatusLine);
    m_Place = Place::Reason;
    return Byte == ' ' || readReason(Byte);
  case Place::Reason:
    return readReason(Byte);
  case Place::LineEnd:
    m_Place = Place::Fields;
    return Byte == '\n' || fail(AnswerFault::StatusLine);
  case Place::Fields:
  case Place::End:
    break;
  }
  return fail(AnswerFault::StatusLine);
}

bool ResponseHead::readStatus(char Byte) {
  if (!absl::ascii_isdigit(Byte))
    return fail(AnswerFault::StatusLine);
  m_Status = m_Status * 10 + (Byte - '0');
  if (++m_Matched < StatusDigits)
    return true;
  m_Place = Place::StatusEnd;
  // Nobody asks for another protocol.
  bool IsValid = m_Status >= MinStatus && m_Status <= MaxStatus &&
                 m_Status != SwitchingProtocols;
  return IsValid || fail(AnswerFault::StatusLine);
}

bool ResponseHead::readReason(char Byte) {
  if (Byte == '\r')
    m_Place = Place::LineEnd;
  else if (Byte == '\n')
    m_Place = Place::Fields;
  else if (!isTextCharacter(Byte))
    return fail(AnswerFault::StatusLine);
  return true;
}

void ResponseHead::readFraming() {
  const HeaderList &Fields = m_Section.fields();
  std::vector<std::string_view> Lengths = membersOf(Fields, "Content-Length");
  std::vector<std::string_view> Codings =
      membersOf(Fields, "Transfer-Encoding");
  auto Length = commonNumber(Lengths);
  // Requests allow no other coding.
  bool IsChunked = Codings.size() == 1 && isSameName(Codings[0], "chunked");
  bool IsAmbiguous = !IsChunked || !Lengths.empty() || m_IsOldVersion;
  if ((!Lengths.empty() && !Length) || (!Codings.empty() && IsAmbiguous)) {
    fail(AnswerFault::Framing);
    return;
  }
  m_Length = Length.value_or(0);
  if (isInterim() || m_Status == NoContent || m_Status == NotModified)
    m_BodyEnd = BodyEnd::Head;
  else if (IsChunked)
    m_BodyEnd = BodyEnd::LastChunk;
  else if (Length)
    m_BodyEnd = BodyEnd::Length;
}

bool ResponseHead::isInterim() const { return m_Status < FirstFinalStatus; }

bool ResponseHead::keepsOpen() const {
  if (m_BodyEnd == BodyEnd::Connection)
    return false;
  const HeaderList &Fields = m_Section.fields();
  if (m_IsOldVersion)
    return hasMember(Fields, "Connection", "keep-alive");
  return !hasMember(Fields, "Connection", "close");
}

bool ResponseHead::fail(AnswerFault Fault) {
  m_Fault = Fault;
  return false;
}

} // namespace knapweedloft::http
