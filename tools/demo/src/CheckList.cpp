#include "demo/CheckList.h"

#include "fmt/format.h"

#include <cstdio>

namespace knapweedloft::demo {

void CheckList::check(bool IsSo, std::string_view What, std::string_view Seen) {
  ++m_Checked;
  m_Failed += IsSo ? 0 : 1;
  fmt::print("  {:5} {:<52} {}\n", IsSo ? "ok" : "short", What, Seen);
  std::fflush(stdout);
}

} // namespace knapweedloft::demo
