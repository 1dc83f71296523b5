#ifndef KNAPWEEDLOFT_MESH_REPORTEDLOAD_H
#define KNAPWEEDLOFT_MESH_REPORTEDLOAD_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace knapweedloft::mesh {

/// What a target says of its load in an answer: "running,waiting,slots" and, of
/// some targets, a fourth figure, its pace.
///
/// A figure that cannot be true is left out, so that callers go on with what
/// they knew; the others are kept.
struct ReportedLoad {
  std::optional<std::uint32_t> m_Running;
  std::optional<std::uint32_t> m_Waiting;
  std::optional<std::uint32_t> m_Slots; ///< At least 1.
  /// How long work takes at this moment, in percent of the usual.
  std::optional<double> m_PacePercent;
  bool m_HasBadSlots = false; ///< Slots that cannot be true.
  bool m_HasBadPace = false;  ///< A fourth figure that is not a pace.

  static ReportedLoad parse(std::string_view Text);
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_REPORTEDLOAD_H
