#ifndef KNAPWEEDLOFT_EXPERIMENT_BENCHRUNNER_H
#define KNAPWEEDLOFT_EXPERIMENT_BENCHRUNNER_H

#include "experiment/ExperimentPlan.h"
#include "experiment/ResultFile.h"
#include "experiment/WorkTree.h"

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::experiment {

/// Plays all of a plan that a result file does not have yet.
///
/// Each variant is built once, in a work tree of its own, before its plays
/// begin. A play that fails is told and left out; the next run tries it again.
///
/// \code
///   ResultFile Results("result.json");
///   std::size_t Failed = BenchRunner(Settings).run(Plan, Results);
/// \endcode
class BenchRunner {
public:
  struct Options {
    std::string m_Bench;                ///< Path of the bench's program.
    std::filesystem::path m_Repository; ///< Of the product.
    std::filesystem::path m_Folder;     ///< For work trees and reports.
    std::size_t m_Jobs = 3;             ///< Plays at once.
    /// Told after each play: its name, what it gave, plays done and in all.
    std::function<void(const std::string &, const std::string &, std::size_t,
                       std::size_t)>
        m_OnProgress;
  };

  explicit BenchRunner(Options Settings);

  /// \returns how many plays failed.
  /// \throws ExperimentError if a variant cannot be checked out or built.
  std::size_t run(const ExperimentPlan &Plan, ResultFile &Results);

private:
  struct Play {
    PlayId m_Id;
    const WorkTree *m_Tree = nullptr;
  };

  [[nodiscard]] std::vector<WorkTree> prepare(const ExperimentPlan &Plan) const;
  void build(const WorkTree &Tree) const;
  [[nodiscard]] PlayResult play(const Play &Next,
                                const ExperimentPlan &Plan) const;

  Options m_Options;
};

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_BENCHRUNNER_H
