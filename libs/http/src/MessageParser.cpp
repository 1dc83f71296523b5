#include "http/MessageParser.h"

#include "MessageAssembly.h"
#include "RequestReader.h"
#include "ResponseReader.h"

#include <variant>

namespace knapweedloft::http {

class MessageParser::Impl {
public:
  Impl(MessageKind Kind, const Options &Limits) : m_Assembly(Limits) {
    if (Kind == MessageKind::Response)
      m_Reader.emplace<ResponseReader>(m_Assembly);
  }

  ParseState feed(std::string_view Bytes) {
    if (m_Assembly.isGood())
      std::visit([&](auto &Reader) { Reader.read(Bytes); }, m_Reader);
    return m_Assembly.m_State;
  }

  ParseState feedEnd() {
    if (m_Assembly.isGood())
      std::visit([](auto &Reader) { Reader.readEnd(); }, m_Reader);
    return m_Assembly.m_State;
  }

  [[nodiscard]] std::size_t heldBytes() const {
    const auto *Responses = std::get_if<ResponseReader>(&m_Reader);
    return m_Assembly.heldBytes() + (Responses ? Responses->fieldBytes() : 0);
  }

  [[nodiscard]] AnswerFault fault() const {
    const auto *Responses = std::get_if<ResponseReader>(&m_Reader);
    return Responses ? Responses->fault() : AnswerFault::None;
  }

  bool takeContinueWanted() {
    auto *Requests = std::get_if<RequestReader>(&m_Reader);
    return Requests && Requests->takeContinueWanted();
  }

  MessageAssembly m_Assembly;

private:
  std::variant<RequestReader, ResponseReader> m_Reader{
      std::in_place_type<RequestReader>, m_Assembly};
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

bool MessageParser::hasMessage() const {
  return !m_Impl->m_Assembly.m_Ready.empty();
}

ParsedMessage MessageParser::take() { return m_Impl->m_Assembly.takeReady(); }

ParseState MessageParser::state() const { return m_Impl->m_Assembly.m_State; }

AnswerFault MessageParser::fault() const { return m_Impl->fault(); }

bool MessageParser::isInside() const { return m_Impl->m_Assembly.m_IsInside; }

bool MessageParser::isInsideHead() const {
  return isInside() && !m_Impl->m_Assembly.m_HasHeaders;
}

std::uint64_t MessageParser::begun() const {
  return m_Impl->m_Assembly.m_Begun;
}

std::size_t MessageParser::heldBytes() const { return m_Impl->heldBytes(); }

std::size_t MessageParser::readyBytes() const {
  return m_Impl->m_Assembly.m_ReadyBytes;
}

bool MessageParser::takeContinueWanted() {
  return m_Impl->takeContinueWanted();
}

} // namespace knapweedloft::http
