#ifndef KNAPWEEDLOFT_MODEL_RESOURCE_H
#define KNAPWEEDLOFT_MODEL_RESOURCE_H

#include "model/Customer.h"
#include "model/Key.h"
#include "model/Quarantine.h"
#include "model/Rate.h"
#include "model/ResourceKind.h"
#include "model/Route.h"
#include "model/Withdrawal.h"

#include <string>
#include <variant>

namespace knapweedloft::model {

/// Any resource; the alternatives stand in the order of ResourceKind.
using Resource =
    std::variant<Customer, Key, Rate, Route, Withdrawal, Quarantine>;

[[nodiscard]] inline ResourceKind kindOf(const Resource &Any) {
  return static_cast<ResourceKind>(Any.index());
}

[[nodiscard]] inline const std::string &nameOf(const Resource &Any) {
  return std::visit(
      [](const auto &One) -> const std::string & { return One.m_Name; }, Any);
}

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_RESOURCE_H
