#include "app/Announcement.h"
#include "app/AppError.h"

#include <cstdint>
#include <string_view>

// What a target says of itself.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace knapweedloft::app;
  try {
    (void)announcementFromJson({reinterpret_cast<const char *>(Data), Size});
  } catch (const AppError &) {
    return 0;
  }
  return 0;
}
