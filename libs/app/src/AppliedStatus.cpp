#include "AppliedStatus.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>

namespace knapweedloft::app {
namespace {

/// Names of members behind that an answer lists; all of them are counted.
constexpr std::size_t MaxNamesBehind = 200;

} // namespace

nlohmann::json appliedStatus(std::uint64_t Revision,
                             const state::Snapshot &State,
                             const AppliedView &View) {
  absl::flat_hash_map<std::string, model::LogOffset> Offsets;
  for (const AppliedOffset &Each : View)
    Offsets[Each.m_Name] = Each.m_Offset;
  nlohmann::json Behind = nlohmann::json::array();
  std::size_t BehindCount = 0;
  for (const model::Member *Each : State.members()) {
    auto Found = Offsets.find(Each->m_Name);
    if (Found != Offsets.end() && Found->second >= Revision)
      continue;
    ++BehindCount;
    if (BehindCount <= MaxNamesBehind)
      Behind.push_back(Each->m_Name);
  }
  const std::size_t Members = State.members().size();
  return {{"revision", Revision},
          {"offset", State.offset()},
          {"members", Members},
          {"applied", Members - BehindCount},
          {"behind", std::move(Behind)},
          {"in_force", State.offset() >= Revision && BehindCount == 0}};
}

} // namespace knapweedloft::app
