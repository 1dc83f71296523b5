#include "state/RecordCodec.h"
#include "state/StateError.h"

#include <cstdint>
#include <string_view>

// A record of the log; one that is taken can be written again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace knapweedloft::state;
  try {
    Record Taken = decodeRecord({reinterpret_cast<const char *>(Data), Size});
    (void)decodeRecord(encodeRecord(Taken));
  } catch (const StateError &) {
    return 0;
  }
  return 0;
}
