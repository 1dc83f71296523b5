#include "state/StateError.h"
#include "state/StateReplica.h"

#include <cstdint>
#include <string>

// An image of the state, as a peer or the log may hand it over.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace knapweedloft::state;
  try {
    StateReplica Replica;
    Replica.loadImage({reinterpret_cast<const char *>(Data), Size});
  } catch (const StateError &) {
    return 0;
  }
  return 0;
}
