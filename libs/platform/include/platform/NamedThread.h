#ifndef KNAPWEEDLOFT_PLATFORM_NAMEDTHREAD_H
#define KNAPWEEDLOFT_PLATFORM_NAMEDTHREAD_H

#include <pthread.h>

#include <functional>
#include <string>

namespace knapweedloft::platform {

/// A POSIX thread with a name; joined by join() or the destructor.
class NamedThread {
public:
  /// \throws PlatformError if the system gives no thread.
  NamedThread(const std::string &Name, std::function<void()> Body);
  ~NamedThread() { join(); }
  NamedThread(const NamedThread &) = delete;
  NamedThread &operator=(const NamedThread &) = delete;

  void join();

private:
  std::function<void()> m_Body;
  pthread_t m_Thread{};
  bool m_IsJoined = false;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_NAMEDTHREAD_H
