#include "platform/NamedThread.h"

#include "platform/PlatformError.h"

#include <utility>

namespace knapweedloft::platform {
namespace {

/// Longest name that the kernel keeps, without the final zero.
constexpr std::size_t MaxThreadNameBytes = 15;

void *runBody(void *Context) {
  (*static_cast<std::function<void()> *>(Context))();
  return nullptr;
}

} // namespace

NamedThread::NamedThread(const std::string &Name, std::function<void()> Body)
    : m_Body(std::move(Body)) {
  if (pthread_create(&m_Thread, nullptr, runBody, &m_Body) != 0)
    throw PlatformError(PlatformErrorKind::Unavailable,
                        "the system gave no thread");
  pthread_setname_np(m_Thread, Name.substr(0, MaxThreadNameBytes).c_str());
}

void NamedThread::join() {
  if (m_IsJoined)
    return;
  pthread_join(m_Thread, nullptr);
  m_IsJoined = true;
}

} // namespace knapweedloft::platform
