#ifndef KNAPWEEDLOFT_FILEWATCH_H
#define KNAPWEEDLOFT_FILEWATCH_H

#include "io/EventLoop.h"

#include <filesystem>
#include <functional>
#include <string>

namespace knapweedloft {

/// Calls a hook when a file is another than before; looks each second. It lives
/// as long as the loop runs.
class FileWatch {
public:
  FileWatch(io::EventLoop &Loop, std::string Path,
            std::function<void()> OnChange);

private:
  [[nodiscard]] std::filesystem::file_time_type written() const;
  void look();

  io::EventLoop &m_Loop;
  std::string m_Path;
  std::function<void()> m_OnChange;
  std::filesystem::file_time_type m_Seen{};
};

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_FILEWATCH_H
