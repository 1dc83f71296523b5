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
  SignalPipe(io::EventLoop &Loop, std::function<void(int Signal)> OnSignal);

private:
  void read();

  io::FileDescriptor m_Reader;
  std::function<void(int)> m_OnSignal;
};

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_SIGNALPIPE_H
