#include "AppliedStatus.h"

#include <algorithm>
#include <cstddef>

namespace knapweedloft::app {

nlohmann::json appliedStatus(std::uint64_t Revision,
                             const state::Snapshot &State,
                             const AppliedSummary &Applied) {
  const std::size_t Members = State.members().size();
  nlohmann::json Behind = nlohmann::json::array();
  for (std::string &Name : Applied.behind(Revision))
    if (State.findMember(Name))
      Behind.push_back(std::move(Name));
  // The summary may still count daemons that have left since.
  const std::size_t Count =
      std::min(Applied.countAt(Revision), Members - Behind.size());
  const std::size_t Unknown = Members - Behind.size() - Count;
  return {{"revision", Revision},
          {"offset", State.offset()},
          {"members", Members},
          {"applied", Count},
          {"unknown", Unknown},
          {"behind", std::move(Behind)},
          {"in_force", State.offset() >= Revision && Count == Members}};
}

} // namespace knapweedloft::app
