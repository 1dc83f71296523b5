#ifndef KNAPWEEDLOFT_HTTP_PARSEDMESSAGE_H
#define KNAPWEEDLOFT_HTTP_PARSEDMESSAGE_H

#include "http/HttpMessage.h"

#include "absl/time/time.h"

#include <cstddef>
#include <string>

namespace knapweedloft::http {

/// A whole request or response as it was read from a connection.
struct ParsedMessage {
  std::string m_Method; ///< Of a request.
  std::string m_Path;   ///< Of a request, with the query.
  int m_Status = 0;     ///< Of a response.
  HeaderList m_Headers;
  std::string m_Body;
  /// The connection may carry another message after this one.
  bool m_KeepsOpen = false;
  /// How long the last bytes of a request waited at least until the process,
  /// after a pause, read them.
  absl::Duration m_Waited;

  /// \returns about what it takes in memory.
  [[nodiscard]] std::size_t bytes() const {
    std::size_t Sum = m_Path.size() + m_Body.size();
    for (const HeaderField &Field : m_Headers)
      Sum += sizeof Field + Field.m_Name.size() + Field.m_Value.size();
    return Sum;
  }
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_PARSEDMESSAGE_H
