#ifndef KNAPWEEDLOFT_HTTP_ANSWERFAULT_H
#define KNAPWEEDLOFT_HTTP_ANSWERFAULT_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::http {

/// Which part of the bytes that a server sent breaks the grammar of an answer.
enum class AnswerFault : std::uint8_t {
  None,
  StatusLine, ///< No status line, or a status that no answer to a call has.
  Fields,     ///< A line of the header or trailer section is no field.
  Framing,    ///< The fields do not tell where the body ends.
  Chunks      ///< The body is not in the chunks that it is declared to be in.
};

inline constexpr std::size_t AnswerFaultCount = 5;
inline constexpr model::NameTable<AnswerFault, AnswerFaultCount>
    AnswerFaultNames{{"none", "status-line", "fields", "framing", "chunks"}};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_ANSWERFAULT_H
