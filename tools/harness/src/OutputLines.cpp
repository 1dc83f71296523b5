#include "harness/OutputLines.h"

#include <array>
#include <unistd.h>

namespace knapweedloft::harness {
namespace {

constexpr std::size_t MaxLines = 20000;
constexpr std::size_t ReadBytes = 4096;

} // namespace

OutputLines::~OutputLines() {
  if (m_Thread.joinable())
    m_Thread.join();
  if (m_Pipe >= 0)
    close(m_Pipe);
}

void OutputLines::start(int Pipe) {
  m_Pipe = Pipe;
  m_Thread = std::thread([this] { run(); });
}

void OutputLines::run() {
  std::array<char, ReadBytes> Bytes{};
  while (true) {
    ssize_t Count = read(m_Pipe, Bytes.data(), Bytes.size());
    absl::MutexLock Lock(&m_Mutex);
    if (Count > 0)
      addBytes({Bytes.data(), static_cast<std::size_t>(Count)});
    else
      m_HasEnded = true;
    m_Changed.SignalAll();
    if (m_HasEnded)
      return;
  }
}

void OutputLines::addBytes(std::string_view Bytes) {
  for (char Character : Bytes) {
    if (Character != '\n') {
      m_Rest += Character;
      continue;
    }
    m_Lines.push_back(std::move(m_Rest));
    m_Rest.clear();
    if (m_Lines.size() > MaxLines)
      m_Lines.pop_front();
  }
}

const std::string *OutputLines::find(std::string_view Text) const {
  for (const std::string &Line : m_Lines)
    if (Line.find(Text) != std::string::npos)
      return &Line;
  return nullptr;
}

std::optional<std::string> OutputLines::await(std::string_view Text) {
  absl::MutexLock Lock(&m_Mutex);
  while (true) {
    if (const std::string *Line = find(Text))
      return *Line;
    if (m_HasEnded)
      return std::nullopt;
    m_Changed.Wait(&m_Mutex);
  }
}

void OutputLines::awaitEnd() {
  absl::MutexLock Lock(&m_Mutex);
  while (!m_HasEnded)
    m_Changed.Wait(&m_Mutex);
}

std::string OutputLines::text() const {
  absl::MutexLock Lock(&m_Mutex);
  std::string Text;
  for (const std::string &Line : m_Lines)
    Text += Line + '\n';
  return Text + m_Rest;
}

} // namespace knapweedloft::harness
