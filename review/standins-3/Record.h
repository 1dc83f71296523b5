#ifndef KNAPWEEDLOFT_REVIEW3_RECORD_H
#define KNAPWEEDLOFT_REVIEW3_RECORD_H

#include <cstdio>
#include <mutex>
#include <string>

namespace knapweedloft::review3 {

/// Writes what is sent, answered and run, a line each with the seconds since
/// the start. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  ~Record();

  void line(const std::string &Text);
  [[nodiscard]] double now() const;

private:
  std::FILE *m_File;
  double m_Start;
  std::mutex m_Mutex;
};

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_RECORD_H
