#include "http/MessageParser.h"

#include <algorithm>
#include <http_parser.h>
#include <utility>

namespace knapweedloft::http {
namespace {

/// A length that a peer only claims takes no more memory than this.
constexpr std::size_t MaxReserve = std::size_t{1} << 20;
/// Of a header field besides its name and value: colon, space, end of the line.
constexpr std::size_t FieldBytes = 4;

} // namespace

class MessageParser::Impl {
public:
  Impl(MessageKind Kind, const Options &Limits) : m_Limits(Limits) {
    http_parser_init(&m_Parser, Kind == MessageKind::Request ? HTTP_REQUEST
                                                             : HTTP_RESPONSE);
    m_Parser.data = this;
  }

  ParseState feed(std::string_view Bytes) {
    if (m_State != ParseState::Good)
      return m_State;
    std::size_t Parsed = http_parser_execute(&m_Parser, &callbacks(),
                                             Bytes.data(), Bytes.size());
    if (m_State != ParseState::Good)
      return m_State;
    http_errno Error = HTTP_PARSER_ERRNO(&m_Parser);
    if (Error == HPE_CLOSED_CONNECTION)
      m_State = ParseState::Closed;
    else if (Error == HPE_HEADER_OVERFLOW)
      m_State = ParseState::HeadersTooLong;
    else if (Error != HPE_OK || Parsed != Bytes.size() || m_Parser.upgrade)
      m_State = ParseState::Malformed;
    return m_State;
  }

  ParseState feedEnd() {
    if (m_State != ParseState::Good)
      return m_State;
    http_parser_execute(&m_Parser, &callbacks(), nullptr, 0);
    if (HTTP_PARSER_ERRNO(&m_Parser) != HPE_OK)
      m_State = ParseState::Malformed;
    return m_State;
  }

  [[nodiscard]] std::size_t heldBytes() const {
    return m_IsInside ? m_HeaderBytes + m_Current.m_Body.size() +
                            m_Current.m_Headers.size() * sizeof(HeaderField)
                      : 0;
  }

  std::deque<ParsedMessage> m_Ready;
  std::size_t m_ReadyBytes = 0;
  ParseState m_State = ParseState::Good;
  bool m_IsInside = false;
  std::uint64_t m_Begun = 0;
  bool m_IsContinueWanted = false;
  bool m_HasHeaders = false;

private:
  static Impl &of(http_parser *Parser) {
    return *static_cast<Impl *>(Parser->data);
  }

  static const http_parser_settings &callbacks() {
    static const http_parser_settings Callbacks = [] {
      http_parser_settings Settings;
      http_parser_settings_init(&Settings);
      Settings.on_message_begin = [](http_parser *P) { return of(P).begin(); };
      Settings.on_url = [](http_parser *P, const char *At, std::size_t Size) {
        return of(P).onUrl({At, Size});
      };
      Settings.on_header_field = [](http_parser *P, const char *At,
                                    std::size_t Size) {
        return of(P).onName({At, Size});
      };
      Settings.on_header_value = [](http_parser *P, const char *At,
                                    std::size_t Size) {
        return of(P).onValue({At, Size});
      };
      Settings.on_headers_complete = [](http_parser *P) {
        return of(P).onHeaders();
      };
      Settings.on_body = [](http_parser *P, const char *At, std::size_t Size) {
        return of(P).onBody({At, Size});
      };
      Settings.on_message_complete = [](http_parser *P) {
        return of(P).onComplete();
      };
      return Settings;
    }();
    return Callbacks;
  }

  int fail(ParseState Reason) {
    m_State = Reason;
    return 1;
  }

  int begin() {
    m_Current = {};
    m_HeaderBytes = 0;
    m_IsName = false;
    m_HasHeaders = false;
    m_IsInside = true;
    ++m_Begun;
    m_IsContinueWanted = false;
    return 0;
  }

  int countHeader(std::size_t Bytes) {
    m_HeaderBytes += Bytes;
    if (m_HeaderBytes > m_Limits.m_MaxHeaderBytes)
      return fail(ParseState::HeadersTooLong);
    return 0;
  }

  int onUrl(std::string_view Part) {
    m_Current.m_Path.append(Part);
    return countHeader(Part.size());
  }

  int onName(std::string_view Part) {
    if (m_HasHeaders)
      return countHeader(Part.size()); // A trailer; nobody asks for them.
    bool IsNew = !m_IsName;
    if (IsNew)
      m_Current.m_Headers.emplace_back();
    m_IsName = true;
    m_Current.m_Headers.back().m_Name.append(Part);
    return countHeader(Part.size() + (IsNew ? FieldBytes : 0));
  }

  int onValue(std::string_view Part) {
    if (m_HasHeaders)
      return countHeader(Part.size());
    m_IsName = false;
    m_Current.m_Headers.back().m_Value.append(Part);
    return countHeader(Part.size());
  }

  int onHeaders() {
    m_HasHeaders = true;
    if (m_Parser.type == HTTP_REQUEST)
      m_Current.m_Method =
          http_method_str(static_cast<http_method>(m_Parser.method));
    else
      m_Current.m_Status = m_Parser.status_code;
    const std::string *Expect = findHeader(m_Current.m_Headers, "Expect");
    m_IsContinueWanted =
        Expect != nullptr && isSameName(*Expect, "100-continue");
    bool HasLength = m_Parser.content_length != UINT64_MAX;
    if (HasLength && m_Parser.content_length > m_Limits.m_MaxBodyBytes) {
      fail(ParseState::BodyTooLong);
      return -1; // A positive result would mean that no body follows.
    }
    return 0;
  }

  int onBody(std::string_view Part) {
    if (m_Current.m_Body.size() + Part.size() > m_Limits.m_MaxBodyBytes)
      return fail(ParseState::BodyTooLong);
    if (m_Current.m_Body.empty() && m_Parser.content_length != UINT64_MAX)
      m_Current.m_Body.reserve(
          std::min(Part.size() + m_Parser.content_length, MaxReserve));
    m_Current.m_Body.append(Part);
    return 0;
  }

  int onComplete() {
    m_Current.m_KeepsOpen = http_should_keep_alive(&m_Parser) != 0;
    m_ReadyBytes += sizeof m_Current + m_Current.bytes();
    m_Ready.push_back(std::move(m_Current));
    m_Current = {};
    m_IsInside = false;
    m_IsContinueWanted = false;
    return 0;
  }

  Options m_Limits;
  http_parser m_Parser{};
  ParsedMessage m_Current;
  std::size_t m_HeaderBytes = 0;
  bool m_IsName = false; ///< The last part of a header was of its name.
};

MessageParser::MessageParser(MessageKind Kind, const Options &Limits)
    : m_Impl(std::make_unique<Impl>(Kind, Limits)) {}

MessageParser::~MessageParser() = default;
MessageParser::MessageParser(MessageParser &&) noexcept = default;
MessageParser &MessageParser::operator=(MessageParser &&) noexcept = default;

ParseState MessageParser::feed(std::string_view Bytes) {
  return m_Impl->feed(Bytes);
}

ParseState MessageParser::feedEnd() { return m_Impl->feedEnd(); }

bool MessageParser::hasMessage() const { return !m_Impl->m_Ready.empty(); }

ParsedMessage MessageParser::take() {
  ParsedMessage Next = std::move(m_Impl->m_Ready.front());
  m_Impl->m_Ready.pop_front();
  m_Impl->m_ReadyBytes -= sizeof Next + Next.bytes();
  return Next;
}

ParseState MessageParser::state() const { return m_Impl->m_State; }

bool MessageParser::isInside() const { return m_Impl->m_IsInside; }

bool MessageParser::isInsideHead() const {
  return m_Impl->m_IsInside && !m_Impl->m_HasHeaders;
}

std::uint64_t MessageParser::begun() const { return m_Impl->m_Begun; }

std::size_t MessageParser::heldBytes() const { return m_Impl->heldBytes(); }

std::size_t MessageParser::readyBytes() const { return m_Impl->m_ReadyBytes; }

bool MessageParser::takeContinueWanted() {
  return std::exchange(m_Impl->m_IsContinueWanted, false);
}

} // namespace knapweedloft::http
