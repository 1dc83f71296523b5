#ifndef KNAPWEEDLOFT_TELEMETRY_OUTCOMETABLE_H
#define KNAPWEEDLOFT_TELEMETRY_OUTCOMETABLE_H

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedloft::telemetry {

/// Counts what became of requests by the name of a route, customer or service.
///
/// However many names come, the series stay few: those past the limit are
/// counted together as "other". Not thread-safe.
///
/// \code
///   Routes.count("reads", "answered");
///   Routes.appendTo(Text, "requests_by_route_total", "route");
/// \endcode
class OutcomeTable {
public:
  struct Options {
    std::size_t m_MaxNames = 64;
  };

  explicit OutcomeTable(const Options &Settings) : m_Settings(Settings) {}

  void count(std::string_view Name, std::string_view Outcome);

  /// Appends one line a name and outcome, in their order:
  /// `knapweedloft_METRIC{LABEL="NAME",outcome="OUTCOME"} COUNT`.
  void appendTo(std::string &Text, std::string_view Metric,
                std::string_view Label) const;

private:
  using Counts = absl::btree_map<std::string, std::uint64_t>;

  Options m_Settings;
  absl::flat_hash_map<std::string, Counts> m_Names;
};

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_OUTCOMETABLE_H
