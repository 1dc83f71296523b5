#ifndef KNAPWEEDLOFT_EXPERIMENT_RESULTFILE_H
#define KNAPWEEDLOFT_EXPERIMENT_RESULTFILE_H

#include "experiment/PlayResult.h"

#include <filesystem>
#include <mutex>
#include <vector>

namespace knapweedloft::experiment {

/// The plays of an experiment, on disk after each one, so that one that was
/// interrupted goes on where it ended. Thread-safe.
class ResultFile {
public:
  /// Reads \p Path if it exists. \throws ExperimentError if it cannot be read.
  explicit ResultFile(std::filesystem::path Path);

  /// \returns whether the play is there, of the same commit.
  [[nodiscard]] bool has(const PlayId &Id, const std::string &Commit) const;
  /// Adds a play in place of a former one. \throws ExperimentError if the file
  /// cannot be written.
  void put(const PlayResult &Play);
  [[nodiscard]] std::vector<PlayResult> plays() const;

private:
  std::filesystem::path m_Path;
  mutable std::mutex m_Mutex;
  std::vector<PlayResult> m_Plays;
};

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_RESULTFILE_H
