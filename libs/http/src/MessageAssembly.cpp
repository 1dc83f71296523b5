#include "MessageAssembly.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::http {
namespace {

/// A length that a peer only claims takes no more memory than this.
constexpr std::size_t MaxReserve = std::size_t{1} << 20;

} // namespace

bool MessageAssembly::fail(ParseState Reason) {
  m_State = Reason;
  return false;
}

void MessageAssembly::begin() {
  m_Current = {};
  m_HeaderBytes = 0;
  m_HasHeaders = false;
  m_IsInside = true;
  ++m_Begun;
}

bool MessageAssembly::countHeader(std::size_t Bytes) {
  m_HeaderBytes += Bytes;
  return m_HeaderBytes <= m_Limits.m_MaxHeaderBytes ||
         fail(ParseState::HeadersTooLong);
}

bool MessageAssembly::endHeaders(std::uint64_t DeclaredBytes) {
  m_HasHeaders = true;
  return DeclaredBytes <= m_Limits.m_MaxBodyBytes ||
         fail(ParseState::BodyTooLong);
}

bool MessageAssembly::appendBody(std::string_view Part, std::uint64_t Left) {
  std::string &Body = m_Current.m_Body;
  if (Body.size() + Part.size() > m_Limits.m_MaxBodyBytes)
    return fail(ParseState::BodyTooLong);
  if (Body.empty() && Left > 0)
    Body.reserve(std::min<std::uint64_t>(Part.size() + Left, MaxReserve));
  Body.append(Part);
  return true;
}

void MessageAssembly::complete(bool KeepsOpen) {
  m_Current.m_KeepsOpen = KeepsOpen;
  m_ReadyBytes += sizeof m_Current + m_Current.bytes();
  m_Ready.push_back(std::move(m_Current));
  m_Current = {};
  m_IsInside = false;
}

ParsedMessage MessageAssembly::takeReady() {
  ParsedMessage Next = std::move(m_Ready.front());
  m_Ready.pop_front();
  m_ReadyBytes -= sizeof Next + Next.bytes();
  return Next;
}

std::size_t MessageAssembly::heldBytes() const {
  return m_IsInside ? m_HeaderBytes + m_Current.m_Body.size() +
                          m_Current.m_Headers.size() * sizeof(HeaderField)
                    : 0;
}

} // namespace knapweedloft::http
