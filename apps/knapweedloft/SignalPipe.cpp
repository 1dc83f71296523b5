#include "SignalPipe.h"

#include "io/IoError.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace knapweedloft {
namespace {

std::atomic<int> Writer{-1};

constexpr std::array Handled{SIGTERM, SIGINT, SIGHUP};

sigset_t handledSet() {
  sigset_t Set;
  ::sigemptyset(&Set);
  for (int Signal : Handled)
    ::sigaddset(&Set, Signal);
  return Set;
}

void onSignal(int Signal) {
  auto Byte = static_cast<unsigned char>(Signal);
  [[maybe_unused]] ssize_t Written = ::write(Writer, &Byte, 1);
}

} // namespace

SignalPipe::SignalPipe(io::EventLoop &Loop,
                       std::function<void(int Signal)> OnSignal)
    : m_OnSignal(std::move(OnSignal)) {
  int Ends[2] = {-1, -1};
  if (::pipe2(Ends, O_NONBLOCK | O_CLOEXEC) != 0)
    throw io::IoError("cannot make a pipe");
  m_Reader = io::FileDescriptor(Ends[0]);
  Writer = Ends[1];
  Loop.watch(m_Reader.get(), EPOLLIN, [this](std::uint32_t) { read(); });
  struct sigaction Action {};
  Action.sa_handler = onSignal;
  Action.sa_flags = SA_RESTART;
  for (int Signal : Handled)
    ::sigaction(Signal, &Action, nullptr);
  sigset_t Set = handledSet();
  ::sigprocmask(SIG_UNBLOCK, &Set, nullptr);
}

void SignalPipe::hold() {
  sigset_t Set = handledSet();
  ::sigprocmask(SIG_BLOCK, &Set, nullptr);
}

void SignalPipe::read() {
  unsigned char Signal = 0;
  while (::read(m_Reader.get(), &Signal, 1) == 1)
    m_OnSignal(Signal);
}

} // namespace knapweedloft
