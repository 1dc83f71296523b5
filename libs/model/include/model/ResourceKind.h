#ifndef KNAPWEEDLOFT_MODEL_RESOURCEKIND_H
#define KNAPWEEDLOFT_MODEL_RESOURCEKIND_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::model {

/// The kinds of resource that operators drive, named as in the API's paths.
enum class ResourceKind : std::uint8_t {
  Customer,
  Key,
  Rate,
  Route,
  Withdrawal,
  Quarantine,
};

inline constexpr std::size_t ResourceKindCount = 6;

inline constexpr NameTable<ResourceKind, ResourceKindCount> ResourceKindNames{
    {"customers", "keys", "rates", "routes", "withdrawals", "quarantines"}};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_RESOURCEKIND_H
