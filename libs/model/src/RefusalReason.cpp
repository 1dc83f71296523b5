#include "model/RefusalReason.h"

#include <array>

namespace knapweedloft::model {
namespace {

constexpr std::array<int, RefusalReasonCount> Statuses = {
    200, 400, 401, 404, 413, 429, 503, 504, 504, 503, 503,
    503, 422, 503, 422, 504, 502, 499, 503, 503, 500, 503};

} // namespace

int httpStatusOf(RefusalReason Reason) {
  auto Index = static_cast<std::size_t>(Reason);
  return Index < Statuses.size() ? Statuses[Index] : 500;
}

bool mayTryElsewhere(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Overloaded:
  case RefusalReason::NoTarget:
  case RefusalReason::Stopping:
  case RefusalReason::WrongIncarnation:
  case RefusalReason::StaleGrant:
    return true;
  default:
    return false;
  }
}

} // namespace knapweedloft::model
