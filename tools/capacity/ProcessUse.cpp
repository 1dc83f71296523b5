#include "ProcessUse.h"

#include <ctime>
#include <malloc.h>

namespace knapweedloft::capacity {

std::size_t allocatedBytes() {
  struct mallinfo2 Use = mallinfo2();
  return Use.uordblks + Use.hblkhd;
}

double processorSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  constexpr double NanosecondsASecond = 1e9;
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) / NanosecondsASecond;
}

} // namespace knapweedloft::capacity
