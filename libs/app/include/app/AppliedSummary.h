#ifndef KNAPWEEDLOFT_APP_APPLIEDSUMMARY_H
#define KNAPWEEDLOFT_APP_APPLIEDSUMMARY_H

#include "link/generated/link_generated.h"
#include "model/Incarnation.h"
#include "model/LogOffset.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// A daemon that has fallen behind, and the offset that its state has reached.
struct AppliedOffset {
  std::string m_Name;
  model::Incarnation m_Incarnation = 0;
  model::LogOffset m_Offset = 0;

  friend bool operator==(const AppliedOffset &,
                         const AppliedOffset &) = default;
};

/// What many daemons apply, in bounded size: how many have reached a common
/// offset, and by name the furthest behind.
///
/// \code
///   AppliedSummary Sum = AppliedSummary::of({"a-1", Life, Offset});
///   Sum.merge(Child, MaxNamed);
///   if (Sum.countAt(Revision) < MemberCount)
///     show(Sum.behind(Revision));
/// \endcode
struct AppliedSummary {
  model::LogOffset m_Floor = 0;        ///< Reached by all that are not named.
  std::size_t m_Count = 0;             ///< Daemons that are not named.
  std::vector<AppliedOffset> m_Behind; ///< Below m_Floor; lowest first.

  [[nodiscard]] static AppliedSummary of(const AppliedOffset &One);

  /// Takes \p Other in. Past \p MaxNamed names the floor sinks to the next.
  void merge(const AppliedSummary &Other, std::size_t MaxNamed);

  /// \returns how many daemons are known to have reached \p Offset.
  [[nodiscard]] std::size_t countAt(model::LogOffset Offset) const;

  /// \returns the names of those that are known not to have reached it.
  [[nodiscard]] std::vector<std::string> behind(model::LogOffset Offset) const;

  [[nodiscard]] link::wire::AppliedReportsT toWire() const;
  [[nodiscard]] static AppliedSummary
  fromWire(const link::wire::AppliedReportsT &Reports);
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APPLIEDSUMMARY_H
