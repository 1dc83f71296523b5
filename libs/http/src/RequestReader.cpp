#include "RequestReader.h"

#include <utility>

namespace knapweedloft::http {
namespace {

/// Of a header field besides its name and value: colon, space, end of the line.
constexpr std::size_t FieldBytes = 4;
constexpr int Stop = 1;

RequestReader &readerOf(http_parser *Parser) {
  return *static_cast<RequestReader *>(Parser->data);
}

} // namespace

RequestReader::RequestReader(MessageAssembly &Into) : m_Into(Into) {
  http_parser_init(&m_Parser, HTTP_REQUEST);
  m_Parser.data = this;
}

const http_parser_settings &RequestReader::callbacks() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_message_begin = [](http_parser *P) {
      readerOf(P).m_IsName = readerOf(P).m_IsContinueWanted = false;
      readerOf(P).m_Into.begin();
      return 0;
    };
    Settings.on_url = [](http_parser *P, const char *At, std::size_t Size) {
      return readerOf(P).onUrl({At, Size});
    };
    Settings.on_header_field = [](http_parser *P, const char *At,
                                  std::size_t Size) {
      return readerOf(P).onName({At, Size});
    };
    Settings.on_header_value = [](http_parser *P, const char *At,
                                  std::size_t Size) {
      return readerOf(P).onValue({At, Size});
    };
    Settings.on_headers_complete = [](http_parser *P) {
      return readerOf(P).onHeaders();
    };
    Settings.on_body = [](http_parser *P, const char *At, std::size_t Size) {
      return readerOf(P).onBody({At, Size});
    };
    Settings.on_message_complete = [](http_parser *P) {
      return readerOf(P).onComplete();
    };
    return Settings;
  }();
  return Callbacks;
}

void RequestReader::read(std::string_view Bytes) {
  std::size_t Parsed =
      http_parser_execute(&m_Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (!m_Into.isGood())
    return;
  http_errno Error = HTTP_PARSER_ERRNO(&m_Parser);
  if (Error == HPE_CLOSED_CONNECTION)
    m_Into.fail(ParseState::Closed);
  else if (Error == HPE_HEADER_OVERFLOW)
    m_Into.fail(ParseState::HeadersTooLong);
  else if (Error != HPE_OK || Parsed != Bytes.size() || m_Parser.upgrade)
    m_Into.fail(ParseState::Malformed);
}

void RequestReader::readEnd() {
  http_parser_execute(&m_Parser, &callbacks(), nullptr, 0);
  if (HTTP_PARSER_ERRNO(&m_Parser) != HPE_OK)
    m_Into.fail(ParseState::Malformed);
}

bool RequestReader::takeContinueWanted() {
  return std::exchange(m_IsContinueWanted, false);
}

int RequestReader::onUrl(std::string_view Part) {
  m_Into.m_Current.m_Path.append(Part);
  return m_Into.countHeader(Part.size()) ? 0 : Stop;
}

int RequestReader::onName(std::string_view Part) {
  bool IsNew = !m_IsName;
  // Nobody asks for the fields of a trailer.
  if (!m_Into.m_HasHeaders) {
    if (IsNew)
      m_Into.m_Current.m_Headers.emplace_back();
    m_IsName = true;
    m_Into.m_Current.m_Headers.back().m_Name.append(Part);
  }
  bool IsCounted = IsNew && !m_Into.m_HasHeaders;
  return m_Into.countHeader(Part.size() + (IsCounted ? FieldBytes : 0)) ? 0
                                                                        : Stop;
}

int RequestReader::onValue(std::string_view Part) {
  if (!m_Into.m_HasHeaders) {
    m_IsName = false;
    m_Into.m_Current.m_Headers.back().m_Value.append(Part);
  }
  return m_Into.countHeader(Part.size()) ? 0 : Stop;
}

int RequestReader::onHeaders() {
  ParsedMessage &Current = m_Into.m_Current;
  Current.m_Method = http_method_str(static_cast<http_method>(m_Parser.method));
  const std::string *Expect = findHeader(Current.m_Headers, "Expect");
  m_IsContinueWanted = Expect != nullptr && isSameName(*Expect, "100-continue");
  bool HasLength = m_Parser.content_length != UINT64_MAX;
  // A positive result would mean that no body follows.
  return m_Into.endHeaders(HasLength ? m_Parser.content_length : 0) ? 0 : -1;
}

int RequestReader::onBody(std::string_view Part) {
  bool HasLength = m_Parser.content_length != UINT64_MAX;
  return m_Into.appendBody(Part, HasLength ? m_Parser.content_length : 0)
             ? 0
             : Stop;
}

int RequestReader::onComplete() {
  m_Into.complete(http_should_keep_alive(&m_Parser) != 0);
  m_IsContinueWanted = false;
  return 0;
}

} // namespace knapweedloft::http
