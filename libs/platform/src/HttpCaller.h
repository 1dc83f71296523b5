#ifndef KNAPWEEDLOFT_PLATFORM_HTTPCALLER_H
#define KNAPWEEDLOFT_PLATFORM_HTTPCALLER_H

#include "platform/HttpLog.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::platform {

/// The outcome of one blocking HTTP call.
struct HttpOutcome {
  int m_Status = 0; ///< 0 if no whole answer came.
  std::string m_Body;
  bool m_MayHaveArrived = false; ///< Bytes of the request were sent.
  std::string m_Error;
};

/// Blocking HTTP calls to one address over kept connections. Thread-safe.
class HttpCaller {
public:
  explicit HttpCaller(HttpLogOptions Options);
  ~HttpCaller();
  HttpCaller(const HttpCaller &) = delete;
  HttpCaller &operator=(const HttpCaller &) = delete;

  /// Posts \p Body if it is given, else gets \p Path.
  [[nodiscard]] HttpOutcome call(const std::string &Path,
                                 std::optional<std::string_view> Body,
                                 absl::Duration Timeout);

private:
  [[nodiscard]] void *takeHandle();
  void giveBack(void *Handle);

  const HttpLogOptions m_Options;
  std::string m_Base;
  absl::Mutex m_Mutex;
  std::vector<void *> m_Idle ABSL_GUARDED_BY(m_Mutex); ///< CURL handles.
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_HTTPCALLER_H
