#ifndef KNAPWEEDLOFT_HTTP_REQUESTREADER_H
#define KNAPWEEDLOFT_HTTP_REQUESTREADER_H

#include "MessageAssembly.h"

#include <cstddef>
#include <http_parser.h>
#include <string_view>

namespace knapweedloft::http {

/// Cuts the bytes of a caller into requests, with http_parser.
class RequestReader {
public:
  /// \p Into outlives this.
  explicit RequestReader(MessageAssembly &Into);
  RequestReader(const RequestReader &) = delete;
  RequestReader &operator=(const RequestReader &) = delete;

  void read(std::string_view Bytes);
  void readEnd();

  [[nodiscard]] bool takeContinueWanted();

private:
  static const http_parser_settings &callbacks();

  int onUrl(std::string_view Part);
  int onName(std::string_view Part);
  int onValue(std::string_view Part);
  int onHeaders();
  int onBody(std::string_view Part);
  int onComplete();

  MessageAssembly &m_Into;
  http_parser m_Parser{};
  bool m_IsName = false; ///< The last part of a header was of its name.
  bool m_IsContinueWanted = false;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_REQUESTREADER_H
