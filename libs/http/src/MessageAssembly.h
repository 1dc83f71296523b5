#ifndef KNAPWEEDLOFT_HTTP_MESSAGEASSEMBLY_H
#define KNAPWEEDLOFT_HTTP_MESSAGEASSEMBLY_H

#include "http/MessageParser.h"
#include "http/ParsedMessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace knapweedloft::http {

/// The message that a MessageParser reads, and those that are whole. Holds each
/// to the limits.
class MessageAssembly {
public:
  explicit MessageAssembly(const MessageParser::Options &Limits)
      : m_Limits(Limits) {}

  /// Nothing is read past a failure. \returns false.
  bool fail(ParseState Reason);
  [[nodiscard]] bool isGood() const { return m_State == ParseState::Good; }

  void begin();
  bool countHeader(std::size_t Bytes);
  /// The header section is whole. \p DeclaredBytes: of the body, if it is
  /// known.
  bool endHeaders(std::uint64_t DeclaredBytes);
  /// \p Left: how much of the body is declared to follow.
  bool appendBody(std::string_view Part, std::uint64_t Left);
  void complete(bool KeepsOpen);

  [[nodiscard]] ParsedMessage takeReady();
  /// \returns how many bytes the message that is not whole yet takes.
  [[nodiscard]] std::size_t heldBytes() const;

  const MessageParser::Options m_Limits;
  ParseState m_State = ParseState::Good;
  ParsedMessage m_Current;
  std::deque<ParsedMessage> m_Ready;
  std::size_t m_ReadyBytes = 0;
  std::size_t m_HeaderBytes = 0; ///< Of the current message.
  std::uint64_t m_Begun = 0;
  bool m_IsInside = false;
  bool m_HasHeaders = false;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_MESSAGEASSEMBLY_H
