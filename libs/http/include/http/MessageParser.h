#ifndef KNAPWEEDLOFT_HTTP_MESSAGEPARSER_H
#define KNAPWEEDLOFT_HTTP_MESSAGEPARSER_H

#include "http/AnswerFault.h"
#include "http/ParsedMessage.h"
#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>

namespace knapweedloft::http {

enum class MessageKind : std::uint8_t { Request, Response };

/// How far a parser got with the bytes it was fed.
enum class ParseState : std::uint8_t {
  Good,
  Malformed,      ///< The bytes are no HTTP/1.1.
  HeadersTooLong, ///< The header section is past its limit.
  BodyTooLong,    ///< A body is past its limit.
  Closed          ///< Bytes came after a message that closes the connection.
};

inline constexpr model::NameTable<ParseState, 5> ParseStateNames{
    {"good", "malformed", "headers-too-long", "body-too-long", "closed"}};

/// Cuts the bytes of one direction of a connection into whole messages.
///
/// Messages with an ambiguous length (two lengths, a length and chunks) are
/// malformed; docs/design/http.md has the grammar that answers must meet.
/// Nothing is parsed past the first error. Not thread-safe.
///
/// \code
///   MessageParser Parser(MessageKind::Request, {});
///   if (Parser.feed(Bytes) != ParseState::Good)
///     refuse();
///   while (auto Message = Parser.take()) ...
/// \endcode
class MessageParser {
public:
  struct Options {
    std::size_t m_MaxHeaderBytes = 64 << 10;
    std::size_t m_MaxBodyBytes = 64 << 20;
  };

  MessageParser(MessageKind Kind, const Options &Limits);
  ~MessageParser();
  MessageParser(MessageParser &&) noexcept;
  MessageParser &operator=(MessageParser &&) noexcept;

  ParseState feed(std::string_view Bytes);
  /// The peer closed its side in order: ends an answer without a length.
  ParseState feedEnd();

  /// \returns whether a whole message is ready for take().
  [[nodiscard]] bool hasMessage() const;
  [[nodiscard]] ParsedMessage take();

  [[nodiscard]] ParseState state() const;
  /// \returns what is wrong with an answer that is malformed; None if it is
  /// cut.
  [[nodiscard]] AnswerFault fault() const;
  /// \returns whether a message has begun and is not whole yet.
  [[nodiscard]] bool isInside() const;
  /// \returns whether its header section is not whole either.
  [[nodiscard]] bool isInsideHead() const;
  /// \returns how many messages have begun, those that are whole included.
  [[nodiscard]] std::uint64_t begun() const;
  /// \returns how many bytes of the message that is not whole yet are held.
  [[nodiscard]] std::size_t heldBytes() const;
  /// \returns about how many bytes whole messages hold that were not taken.
  [[nodiscard]] std::size_t readyBytes() const;
  /// \returns whether the headers of the message that is not whole yet are
  /// complete and ask for "100 Continue" before the body.
  [[nodiscard]] bool takeContinueWanted();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_MESSAGEPARSER_H
