#ifndef KNAPWEEDLOFT_DEMO_CHECKLIST_H
#define KNAPWEEDLOFT_DEMO_CHECKLIST_H

#include <cstddef>
#include <string_view>

namespace knapweedloft::demo {

/// Prints what was seen beside what should be, and counts what is not so.
class CheckList {
public:
  void check(bool IsSo, std::string_view What, std::string_view Seen);

  [[nodiscard]] std::size_t checked() const { return m_Checked; }
  [[nodiscard]] std::size_t failed() const { return m_Failed; }

private:
  std::size_t m_Checked = 0;
  std::size_t m_Failed = 0;
};

} // namespace knapweedloft::demo

#endif // KNAPWEEDLOFT_DEMO_CHECKLIST_H
