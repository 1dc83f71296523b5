#ifndef KNAPWEEDLOFT_POLICY_FRESHNESS_H
#define KNAPWEEDLOFT_POLICY_FRESHNESS_H

#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// How far a daemon may rely on its copy of the state.
enum class Freshness : std::uint8_t {
  Fresh,          ///< Within the bound it had all records that the log held.
  LogUnavailable, ///< No daemon reaches the log, so nothing can have been
                  ///< appended.
  Partitioned, ///< The log is unavailable here; another data center may reach
               ///< it.
  Isolated,    ///< Records that the log holds may be missing here.
};

inline constexpr model::NameTable<Freshness, 4> FreshnessNames{
    {"fresh", "log-away", "split", "isolated"}};

/// Until when each freshness holds. The first bound in the order of the members
/// that is not over decides.
struct FreshnessBounds {
  absl::Time m_Fresh = absl::InfinitePast();
  /// Another daemon reads the log, so it is not unavailable to all, and records
  /// are missing here: Isolated.
  absl::Time m_Behind = absl::InfinitePast();
  absl::Time m_LogUnavailable = absl::InfinitePast();
  absl::Time m_Partitioned = absl::InfinitePast();

  [[nodiscard]] Freshness freshnessAt(absl::Time Now) const {
    if (Now < m_Fresh)
      return Freshness::Fresh;
    if (Now < m_Behind)
      return Freshness::Isolated;
    if (Now < m_LogUnavailable)
      return Freshness::LogUnavailable;
    return Now < m_Partitioned ? Freshness::Partitioned : Freshness::Isolated;
  }
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FRESHNESS_H
