#include "MemoryLimit.h"

#include <algorithm>

namespace knapweedloft::review3 {
namespace {

constexpr double LookSeconds = 0.02;
constexpr double RestartSeconds = 1;

} // namespace

MemoryLimit::MemoryLimit(Site &Of, Record &Log) : m_Site(Of), m_Log(Log) {
  m_Thread = std::thread([this] { run(); });
}

MemoryLimit::~MemoryLimit() { stop(); }

void MemoryLimit::stop() {
  m_IsStopping = true;
  if (m_Thread.joinable())
    m_Thread.join();
}

std::string MemoryLimit::summary() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::string Text = "peak_mb=" + std::to_string(m_PeakMb) + " ended:";
  for (const auto &[Name, Times] : m_Ends)
    Text += " " + Name + "=" + std::to_string(Times);
  return Text;
}

void MemoryLimit::run() {
  while (!m_IsStopping) {
    for (Site::Machine &Each : m_Site.machines())
      look(*Each.m_Daemon);
    sleepSeconds(LookSeconds);
  }
}

void MemoryLimit::look(Daemon &Process) {
  const std::string &Name = Process.options().m_Name;
  if (auto Due = m_Restarts.find(&Process); Due != m_Restarts.end()) {
    if (steadySeconds() < Due->second)
      return;
    m_Restarts.erase(Due);
    Process.start(false);
    m_Log.line("started machine=" + Name);
    return;
  }
  bool HasEnded = Process.hasEnded();
  double Mb = HasEnded ? 0 : Process.memoryMb();
  bool IsWithin = !HasEnded && Mb <= Process.options().m_MemoryMb;
  if (!IsWithin) {
    Process.kill();
    m_Log.line("ended machine=" + Name +
               (HasEnded ? " cause=itself"
                         : " cause=memory mb=" + std::to_string(Mb)));
    m_Restarts[&Process] = steadySeconds() + RestartSeconds;
  }
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_PeakMb = std::max(m_PeakMb, Mb);
  m_Ends[Name] += IsWithin ? 0 : 1;
  if (m_Ends[Name] == 0)
    m_Ends.erase(Name);
}

} // namespace knapweedloft::review3
