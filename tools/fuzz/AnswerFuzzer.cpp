#include "http/MessageParser.h"
#include "http/MessageText.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

using namespace knapweedloft::http;

/// \returns whether the answer, written for a caller, is read as the same.
bool isPassable(const ParsedMessage &Answer) {
  constexpr int FirstFinalStatus = 200;
  if (Answer.m_Status < FirstFinalStatus)
    return Answer.m_Status >= 100;
  std::string Lines = headerLines(Answer.m_Headers);
  std::string Text;
  appendResponse(Text, Answer.m_Status, Lines, Answer.m_Body, false);
  MessageParser Parser(MessageKind::Response, {});
  if (!areHeaderLines(Lines) || Parser.feed(Text) != ParseState::Good ||
      !Parser.hasMessage() || Parser.isInside())
    return false;
  ParsedMessage Again = Parser.take();
  return !Parser.hasMessage() && Again.m_Status == Answer.m_Status &&
         Again.m_Body == Answer.m_Body;
}

} // namespace

// The bytes of a target, the store or a caller, as they may send them, in
// parts: no message is past its limits and nothing is kept without an end, and
// an answer can be passed on. The first byte says which kind and how large the
// parts are.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  constexpr std::size_t MaxHeaderBytes = 256;
  constexpr std::size_t MaxBodyBytes = 128;
  if (Size == 0)
    return 0;
  MessageKind Kind =
      (Data[0] & 1) != 0 ? MessageKind::Request : MessageKind::Response;
  std::size_t PartBytes = 1 + (Data[0] >> 1);
  MessageParser Parser(Kind, {.m_MaxHeaderBytes = MaxHeaderBytes,
                              .m_MaxBodyBytes = MaxBodyBytes});
  std::string_view Rest(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  while (!Rest.empty() &&
         Parser.feed(Rest.substr(0, PartBytes)) == ParseState::Good) {
    Rest.remove_prefix(std::min(PartBytes, Rest.size()));
    if (Parser.heldBytes() >
        MaxHeaderBytes * sizeof(HeaderField) + MaxBodyBytes)
      std::abort();
  }
  Parser.feedEnd();
  while (Parser.hasMessage()) {
    ParsedMessage Message = Parser.take();
    if (Message.m_Body.size() > MaxBodyBytes)
      std::abort();
    if (Kind == MessageKind::Response && !isPassable(Message))
      std::abort();
  }
  return 0;
}
