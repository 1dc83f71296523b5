#include "ResponseReader.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::http {

void ResponseReader::read(std::string_view Bytes) {
  while (!Bytes.empty() && m_Into.isGood()) {
    if (!m_KeepsOpen && !m_Into.m_IsInside)
      m_Into.fail(ParseState::Closed);
    else if (m_Head.isWhole())
      readBody(Bytes);
    else
      readHead(Bytes);
  }
}

void ResponseReader::readEnd() {
  if (!m_Into.m_IsInside)
    return;
  if (m_Head.isWhole() && m_Head.bodyEnd() == BodyEnd::Connection)
    complete();
  else
    m_Into.fail(ParseState::Malformed);
}

std::size_t ResponseReader::fieldBytes() const {
  return m_Head.fields().size() * sizeof(HeaderField);
}

void ResponseReader::readHead(std::string_view &Bytes) {
  if (!m_Head.hasBegun())
    m_Into.begin();
  while (!Bytes.empty()) {
    char Byte = Bytes.front();
    Bytes.remove_prefix(1);
    if (!m_Head.read(Byte))
      return failMalformed(m_Head.fault());
    if (!m_Into.countHeader(1))
      return;
    if (m_Head.isWhole())
      return beginBody();
  }
}

void ResponseReader::beginBody() {
  m_KeepsOpen = m_Head.isInterim() || m_Head.keepsOpen();
  m_Into.m_Current.m_Status = m_Head.status();
  m_Into.m_Current.m_Headers = std::move(m_Head.fields());
  m_Head.fields().clear();
  m_Left = m_Head.bodyEnd() == BodyEnd::Length ? m_Head.length() : 0;
  if (!m_Into.endHeaders(m_Left))
    return;
  bool HasLength = m_Head.bodyEnd() == BodyEnd::Length;
  if (m_Head.bodyEnd() == BodyEnd::Head || (HasLength && m_Left == 0))
    complete();
}

void ResponseReader::readBody(std::string_view &Bytes) {
  if (m_Head.bodyEnd() == BodyEnd::LastChunk)
    return readChunks(Bytes);
  bool HasLength = m_Head.bodyEnd() == BodyEnd::Length;
  std::string_view Part =
      HasLength ? Bytes.substr(0, std::min<std::uint64_t>(m_Left, Bytes.size()))
                : Bytes;
  Bytes.remove_prefix(Part.size());
  m_Left -= HasLength ? Part.size() : 0;
  if (m_Into.appendBody(Part, m_Left) && HasLength && m_Left == 0)
    complete();
}

void ResponseReader::readChunks(std::string_view &Bytes) {
  std::string_view Content = m_Chunks.read(Bytes);
  if (m_Chunks.fault() != AnswerFault::None)
    return failMalformed(m_Chunks.fault());
  if (m_Chunks.lineBytes() > m_Into.m_Limits.m_MaxHeaderBytes) {
    m_Into.fail(ParseState::HeadersTooLong);
    return;
  }
  if (m_Into.appendBody(Content, 0) && m_Chunks.isWhole())
    complete();
}

void ResponseReader::complete() {
  m_Into.complete(m_KeepsOpen);
  m_Head = {};
  m_Chunks = {};
}

void ResponseReader::failMalformed(AnswerFault Fault) {
  m_Fault = Fault;
  m_Into.fail(ParseState::Malformed);
}

} // namespace knapweedloft::http
