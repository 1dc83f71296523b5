#include "experiment/ResultFile.h"

#include "experiment/ExperimentError.h"

#include "fmt/format.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace knapweedloft::experiment {

ResultFile::ResultFile(std::filesystem::path Path) : m_Path(std::move(Path)) {
  if (!std::filesystem::exists(m_Path))
    return;
  try {
    std::ifstream File(m_Path);
    nlohmann::json Document = nlohmann::json::parse(File);
    for (const nlohmann::json &Play : Document.at("plays"))
      m_Plays.push_back(playFromJson(Play));
  } catch (const nlohmann::json::exception &Error) {
    throw ExperimentError(fmt::format("{}: {}", m_Path.string(), Error.what()));
  }
}

bool ResultFile::has(const PlayId &Id, const std::string &Commit) const {
  std::lock_guard Lock(m_Mutex);
  return std::any_of(m_Plays.begin(), m_Plays.end(), [&](const auto &Play) {
    return Play.m_Id == Id && Play.m_Commit == Commit;
  });
}

void ResultFile::put(const PlayResult &Play) {
  std::lock_guard Lock(m_Mutex);
  std::erase_if(m_Plays,
                [&](const auto &Former) { return Former.m_Id == Play.m_Id; });
  m_Plays.push_back(Play);
  nlohmann::json Plays = nlohmann::json::array();
  for (const PlayResult &One : m_Plays)
    Plays.push_back(toJson(One));
  nlohmann::json Document = {{"plays", std::move(Plays)}};
  std::filesystem::path Next = m_Path;
  Next += ".next";
  std::ofstream File(Next);
  File << Document.dump(1) << '\n';
  if (!File.flush())
    throw ExperimentError(fmt::format("cannot write {}", Next.string()));
  std::filesystem::rename(Next, m_Path);
}

std::vector<PlayResult> ResultFile::plays() const {
  std::lock_guard Lock(m_Mutex);
  return m_Plays;
}

} // namespace knapweedloft::experiment
