#include "app/ApiError.h"
#include "app/ResourceJson.h"

#include <cstdint>
#include <string_view>

// The body of an operator's PUT: the first byte chooses the kind.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace knapweedloft;
  if (Size == 0)
    return 0;
  auto Kind =
      static_cast<model::ResourceKind>(Data[0] % model::ResourceKindCount);
  std::string_view Text(reinterpret_cast<const char *>(Data + 1), Size - 1);
  try {
    auto Object = app::parseJsonObject(Text);
    (void)app::jsonOf(app::resourceFromJson(Kind, "name", Object));
  } catch (const app::ApiError &) {
    return 0;
  }
  return 0;
}
