#ifndef KNAPWEEDLOFT_IO_FILEDESCRIPTOR_H
#define KNAPWEEDLOFT_IO_FILEDESCRIPTOR_H

#include <unistd.h>
#include <utility>

namespace knapweedloft::io {

/// Owns a file descriptor and closes it.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Fd) : m_Fd(Fd) {}
  FileDescriptor(FileDescriptor &&Other) noexcept
      : m_Fd(std::exchange(Other.m_Fd, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(m_Fd, Other.m_Fd);
    return *this;
  }
  ~FileDescriptor() {
    if (m_Fd >= 0)
      ::close(m_Fd);
  }

  [[nodiscard]] int get() const { return m_Fd; }
  [[nodiscard]] bool isValid() const { return m_Fd >= 0; }

private:
  int m_Fd = -1;
};

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_FILEDESCRIPTOR_H
