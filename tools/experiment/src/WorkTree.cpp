#include "experiment/WorkTree.h"

#include "experiment/ExperimentError.h"
#include "harness/Process.h"

#include "fmt/format.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <vector>

namespace knapweedloft::experiment {
namespace {

namespace fs = std::filesystem;

constexpr const char *SettingsFile = "deploy/settings.toml";

std::string git(const fs::path &Repository, std::vector<std::string> Words) {
  Words.insert(Words.begin(), {"/usr/bin/git", "-C", Repository.string()});
  harness::Process Git(Words);
  if (Git.wait() != 0)
    throw ExperimentError(fmt::format("git {}: {}", Words[3], Git.errors()));
  std::string Output = Git.output();
  return Output.substr(0, Output.find('\n'));
}

std::string readFile(const fs::path &Path) {
  std::ifstream File(Path);
  if (!File)
    throw ExperimentError(fmt::format("cannot read {}", Path.string()));
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

std::string withSetting(const std::string &Text, const std::string &Key,
                        const std::string &Value) {
  std::size_t Dot = Key.rfind('.');
  if (Dot == std::string::npos)
    throw ExperimentError(fmt::format("{}: not section.key", Key));
  std::string Section = fmt::format("[{}]", Key.substr(0, Dot));
  std::string Assignment = fmt::format("{} =", Key.substr(Dot + 1));
  std::istringstream Lines(Text);
  std::string Result;
  bool IsInSection = false;
  bool IsFound = false;
  for (std::string Line; std::getline(Lines, Line); Result += Line + "\n") {
    if (Line.starts_with('['))
      IsInSection = Line == Section;
    if (!IsInSection || !Line.starts_with(Assignment))
      continue;
    Line = fmt::format("{} {}", Assignment, Value);
    IsFound = true;
  }
  if (!IsFound)
    throw ExperimentError(fmt::format("no setting {}", Key));
  return Result;
}

WorkTree::WorkTree(const fs::path &Repository, const fs::path &Folder,
                   const Variant &Of)
    : m_Path(Folder / Of.m_Name),
      m_Commit(git(Repository, {"rev-parse", Of.m_Commit + "^{commit}"})) {
  if (!fs::exists(m_Path)) {
    fs::create_directories(Folder);
    git(Repository, {"worktree", "prune"});
    git(Repository,
        {"worktree", "add", "--force", "--detach", m_Path.string(), m_Commit});
  }
  git(m_Path, {"checkout", "--force", "--detach", m_Commit});
  if (Of.m_Settings.empty())
    return;
  std::string Text = readFile(m_Path / SettingsFile);
  for (const auto &[Key, Value] : Of.m_Settings)
    Text = withSetting(Text, Key, Value);
  std::ofstream(m_Path / SettingsFile) << Text;
}

void WorkTree::keepJournal(const fs::path &Repository) const {
  if (fs::exists(m_Path / "journal"))
    fs::copy(m_Path / "journal", Repository / "journal",
             fs::copy_options::recursive | fs::copy_options::skip_existing);
}

} // namespace knapweedloft::experiment
