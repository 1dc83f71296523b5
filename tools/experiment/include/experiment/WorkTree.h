#ifndef KNAPWEEDLOFT_EXPERIMENT_WORKTREE_H
#define KNAPWEEDLOFT_EXPERIMENT_WORKTREE_H

#include "experiment/ExperimentPlan.h"

#include <filesystem>
#include <string>

namespace knapweedloft::experiment {

/// The sources of one variant, checked out in a folder of their own.
class WorkTree {
public:
  /// Checks the variant's commit out below \p Folder, unless that was done
  /// before, and changes its settings.
  /// \throws ExperimentError if git does not know the commit, or the settings
  /// have no such key.
  WorkTree(const std::filesystem::path &Repository,
           const std::filesystem::path &Folder, const Variant &Of);

  [[nodiscard]] const std::filesystem::path &path() const { return m_Path; }
  /// \returns the hash of the commit.
  [[nodiscard]] const std::string &commit() const { return m_Commit; }

  /// Copies the bench's journal to that of the repository.
  void keepJournal(const std::filesystem::path &Repository) const;

private:
  std::filesystem::path m_Path;
  std::string m_Commit;
};

/// \returns \p Text with a new value for a key, `section.key`. Lines that are
/// not TOML, such as those of a template, stay as they are.
/// \throws ExperimentError if the key is not there.
[[nodiscard]] std::string withSetting(const std::string &Text,
                                      const std::string &Key,
                                      const std::string &Value);

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_WORKTREE_H
