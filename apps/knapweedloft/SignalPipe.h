#ifndef KNAPWEEDLOFT_SIGNALPIPE_H
#define KNAPWEEDLOFT_SIGNALPIPE_H

#include "io/EventLoop.h"
#include "io/FileDescriptor.h"

#include <functional>

namespace knapweedloft {

/// Brings SIGTERM, SIGINT and SIGHUP into an event loop through a pipe, as a
/// signal handler may do little else. One of a process.
class SignalPipe {
public:
  /// Signals that came since hold() are brought in too.
  SignalPipe(io::EventLoop &Loop, std::function<void(int Signal)> OnSignal);

  /// Keeps the signals until there is a pipe: a program that is still starting
  /// would end by them.
  static void hold();

private:
  void read();

  io::FileDescriptor m_Reader;
  std::function<void(int)> m_OnSignal;
};

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_SIGNALPIPE_H
