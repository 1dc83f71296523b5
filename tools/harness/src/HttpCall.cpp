#include "harness/HttpCall.h"

#include "absl/synchronization/notification.h"
#include "fmt/format.h"

#include <utility>

namespace knapweedloft::harness {

http::HttpResult httpCall(std::uint16_t Port, http::HttpRequest Request,
                          absl::Duration Timeout) {
  http::HttpResult Result;
  absl::Notification Done;
  http::HttpClient Client({.m_MaxBodyBytes = 64 << 20});
  Client.send(fmt::format("http://127.0.0.1:{}", Port), std::move(Request),
              Timeout, [&](http::HttpResult Answer) {
                Result = std::move(Answer);
                Done.Notify();
              });
  Done.WaitForNotification();
  return Result;
}

} // namespace knapweedloft::harness
