#include "Record.h"

#include "Http.h"

namespace knapweedloft::review3 {

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w")), m_Start(steadySeconds()) {}

Record::~Record() {
  if (m_File)
    std::fclose(m_File);
}

double Record::now() const { return steadySeconds() - m_Start; }

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!m_File)
    return;
  std::fprintf(m_File, "%8.3f %s\n", now(), Text.c_str());
  std::fflush(m_File);
}

} // namespace knapweedloft::review3
