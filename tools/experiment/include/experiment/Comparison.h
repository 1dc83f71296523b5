#ifndef KNAPWEEDLOFT_EXPERIMENT_COMPARISON_H
#define KNAPWEEDLOFT_EXPERIMENT_COMPARISON_H

#include "experiment/PairedDifference.h"
#include "experiment/PlayResult.h"

#include <string>
#include <vector>

namespace knapweedloft::experiment {

/// Compares the plays of variants with those of the first, site by site and day
/// by day, over the pairs of the same seed.
class Comparison {
public:
  /// \p First is the variant that the others are compared with.
  Comparison(std::vector<PlayResult> Plays, std::string First);

  /// \returns the difference of a figure on a day of a site; empty \p Day: on
  /// all of its days.
  [[nodiscard]] PairedDifference difference(const std::string &Variant,
                                            const std::string &Site,
                                            const std::string &Day,
                                            const std::string &Figure) const;

  /// \returns means and differences as a Markdown table a site, then the plays
  /// that broke a rule. \p Figures: those shown.
  [[nodiscard]] std::string
  markdown(const std::vector<std::string> &Figures) const;

private:
  [[nodiscard]] const PlayResult *find(const PlayId &Id) const;
  [[nodiscard]] std::vector<std::string>
  valuesOf(std::string PlayId::*Field) const;
  [[nodiscard]] std::string row(const std::string &Variant,
                                const std::string &Site, const std::string &Day,
                                const std::vector<std::string> &Figures) const;
  [[nodiscard]] std::string brokenRules() const;

  std::vector<PlayResult> m_Plays;
  std::string m_First;
};

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_COMPARISON_H
