#include "FileWatch.h"

#include <system_error>
#include <utility>

namespace knapweedloft {
namespace {

/// A change without a signal is found this late at most.
constexpr absl::Duration LookInterval = absl::Seconds(1);

} // namespace

FileWatch::FileWatch(io::EventLoop &Loop, std::string Path,
                     std::function<void()> OnChange)
    : m_Loop(Loop), m_Path(std::move(Path)), m_OnChange(std::move(OnChange)) {
  m_Seen = written();
  m_Loop.post([this] { look(); }, LookInterval);
}

std::filesystem::file_time_type FileWatch::written() const {
  std::error_code Failed;
  auto Time = std::filesystem::last_write_time(m_Path, Failed);
  return Failed ? m_Seen : Time;
}

void FileWatch::look() {
  auto Now = written();
  if (std::exchange(m_Seen, Now) != Now)
    m_OnChange();
  m_Loop.post([this] { look(); }, LookInterval);
}

} // namespace knapweedloft
