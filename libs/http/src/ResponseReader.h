#ifndef KNAPWEEDLOFT_HTTP_RESPONSEREADER_H
#define KNAPWEEDLOFT_HTTP_RESPONSEREADER_H

#include "ChunkedBody.h"
#include "MessageAssembly.h"
#include "ResponseHead.h"
#include "http/AnswerFault.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace knapweedloft::http {

/// Cuts the bytes of a server into answers, interim ones included. Debian's
/// http_parser is built without its strict checks and passes what is none.
class ResponseReader {
public:
  /// \p Into outlives this.
  explicit ResponseReader(MessageAssembly &Into) : m_Into(Into) {}

  void read(std::string_view Bytes);
  void readEnd();

  [[nodiscard]] AnswerFault fault() const { return m_Fault; }
  /// \returns how many bytes the fields of an unfinished head take besides
  /// their text.
  [[nodiscard]] std::size_t fieldBytes() const;

private:
  void readHead(std::string_view &Bytes);
  void beginBody();
  void readBody(std::string_view &Bytes);
  void readChunks(std::string_view &Bytes);
  void complete();
  void failMalformed(AnswerFault Fault);

  MessageAssembly &m_Into;
  ResponseHead m_Head;
  ChunkedBody m_Chunks;
  std::uint64_t m_Left = 0; ///< Of a body with a length.
  AnswerFault m_Fault = AnswerFault::None;
  bool m_KeepsOpen = true; ///< The connection, after the last answer.
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_RESPONSEREADER_H
