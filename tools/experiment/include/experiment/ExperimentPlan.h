#ifndef KNAPWEEDLOFT_EXPERIMENT_EXPERIMENTPLAN_H
#define KNAPWEEDLOFT_EXPERIMENT_EXPERIMENTPLAN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedloft::experiment {

/// A version of the product: a commit, with changed settings.
struct Variant {
  std::string m_Name;
  std::string m_Commit = "HEAD"; ///< A branch, tag or hash.
  /// New values of `section.key` in deploy/settings.toml, as TOML.
  std::map<std::string, std::string> m_Settings;
};

/// Site files, days and seeds that each variant plays. The first variant is
/// what the others are compared with.
struct ExperimentPlan {
  std::string m_Why; ///< For the journal of the bench.
  std::vector<std::string> m_Sites;
  std::vector<std::string> m_Days;
  std::vector<std::uint64_t> m_Seeds;
  std::vector<std::string> m_BenchOptions; ///< Passed on for each play.
  std::vector<Variant> m_Variants;
};

/// \throws ExperimentError if the file cannot be read, or names a key that is
/// not known, or lacks one.
[[nodiscard]] ExperimentPlan loadPlan(const std::string &Path);

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_EXPERIMENTPLAN_H
