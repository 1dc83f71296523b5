#include "telemetry/EventLog.h"

#include "telemetry/LogText.h"

#include <algorithm>
#include <iterator>
#include <poll.h>
#include <unistd.h>

namespace knapweedloft::telemetry {
namespace {

/// A pipe that is ready takes this much without blocking (POSIX PIPE_BUF).
constexpr std::size_t AtomicPipeBytes = 4096;

} // namespace

EventLog::Field::Field(std::string_view Key, absl::Duration Value)
    : m_Key(Key),
      m_Value(fmt::format("{:.1f}ms", absl::ToDoubleMilliseconds(Value))) {}

void EventLog::startSecond(absl::Time Wall) {
  if (Wall - m_Second < absl::Seconds(1) && Wall >= m_Second)
    return;
  m_Second = Wall;
  m_UsedBytes = 0;
  tellDropped(Wall);
}

bool EventLog::accepts(Importance Kind, absl::Time Wall) {
  startSecond(Wall);
  std::size_t Budget = m_Settings.m_BytesPerSecond;
  std::size_t Room = m_Settings.m_MaxWaitingBytes;
  if (Kind == Importance::Routine) {
    Budget = static_cast<std::size_t>(static_cast<double>(Budget) *
                                      m_Settings.m_RoutineShare);
    Room /= 2;
  }
  // Lines on state are few and get through a full budget.
  bool IsWithin = m_UsedBytes < Budget || Kind == Importance::State;
  if (IsWithin && m_Waiting.size() - m_Sent < Room)
    return true;
  ++m_Dropped[static_cast<std::size_t>(Kind)];
  return false;
}

void EventLog::write(Importance Kind, std::string_view Part,
                     std::string_view Sentence, absl::Time Wall,
                     Fields Values) {
  if (!accepts(Kind, Wall))
    return;
  std::size_t Before = m_Waiting.size();
  m_Waiting +=
      absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", Wall, absl::UTCTimeZone());
  fmt::format_to(std::back_inserter(m_Waiting), " {}: {}", Part, Sentence);
  for (const Field &One : Values) {
    fmt::format_to(std::back_inserter(m_Waiting), " {}=", One.m_Key);
    appendLogValue(m_Waiting, One.m_Value);
  }
  m_Waiting += '\n';
  m_UsedBytes += m_Waiting.size() - Before;
}

void EventLog::tellDropped(absl::Time Wall) {
  if (m_Dropped == m_Told)
    return;
  auto Since = [this](Importance Kind) {
    auto Index = static_cast<std::size_t>(Kind);
    return m_Dropped[Index] - m_Told[Index];
  };
  std::uint64_t Routine = Since(Importance::Routine);
  std::uint64_t Notable = Since(Importance::Notable);
  std::uint64_t State = Since(Importance::State);
  if (m_Waiting.size() - m_Sent >= m_Settings.m_MaxWaitingBytes)
    return; // There is no room for that line either; it follows later.
  m_Told = m_Dropped;
  write(Importance::State, "log", "Lines were dropped.", Wall,
        {{"routine", Routine}, {"notable", Notable}, {"state", State}});
}

void EventLog::flush(absl::Time Wall) {
  startSecond(Wall);
  while (m_Sent < m_Waiting.size()) {
    std::size_t Taken =
        m_Settings.m_Sink(std::string_view(m_Waiting).substr(m_Sent));
    m_Sent += Taken;
    if (Taken == 0)
      break;
  }
  if (m_Sent == m_Waiting.size() || m_Sent > m_Settings.m_MaxWaitingBytes / 2) {
    m_Waiting.erase(0, m_Sent);
    m_Sent = 0;
  }
}

std::function<std::size_t(std::string_view)> descriptorSink(int Descriptor) {
  return [Descriptor](std::string_view Text) -> std::size_t {
    pollfd Ready{.fd = Descriptor, .events = POLLOUT, .revents = 0};
    if (::poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
      return 0;
    ssize_t Taken = ::write(Descriptor, Text.data(),
                            std::min(Text.size(), AtomicPipeBytes));
    return Taken > 0 ? static_cast<std::size_t>(Taken) : 0;
  };
}

} // namespace knapweedloft::telemetry
