#ifndef KNAPWEEDLOFT_EXPERIMENT_PLAYRESULT_H
#define KNAPWEEDLOFT_EXPERIMENT_PLAYRESULT_H

#include "nlohmann/json.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedloft::experiment {

/// Names one play: pairs of variants are compared where all but the variant is
/// the same.
struct PlayId {
  std::string m_Variant;
  std::string m_Site;
  std::string m_Day;
  std::uint64_t m_Seed = 0;

  friend bool operator==(const PlayId &, const PlayId &) = default;
};

/// What a play gave.
struct PlayResult {
  PlayId m_Id;
  std::string m_Commit;
  /// By name: `worth`, `served`, `price GB between zones` and so on.
  std::map<std::string, double> m_Figures;
  std::vector<std::string> m_BrokenRules;
};

[[nodiscard]] nlohmann::json toJson(const PlayResult &From);
/// Reads back what toJson() gave. \throws nlohmann::json::exception if it is
/// something else.
[[nodiscard]] PlayResult playFromJson(const nlohmann::json &From);

/// Reads the report that the bench writes of one day.
/// \throws ExperimentError if it is not one.
[[nodiscard]] PlayResult readReport(const std::string &Text, PlayId Of);

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_PLAYRESULT_H
