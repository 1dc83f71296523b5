#include "app/KeyHomes.h"

#include "policy/OwnerRanking.h"

namespace knapweedloft::app {

std::vector<model::Member>
homesOf(const std::string &Name, const std::string &Service,
        const state::Snapshot &State,
        const std::function<bool(const model::Member &)> &IsAlive,
        std::size_t Count) {
  std::vector<const model::Member *> Members;
  std::vector<std::string> Names;
  for (const model::Member *Who : State.membersOf(Service)) {
    if (State.isWithdrawn(*Who) || !IsAlive(*Who))
      continue;
    Members.push_back(Who);
    Names.push_back(Who->m_Name);
  }
  std::vector<model::Member> Homes;
  for (std::size_t Index : policy::rankOwners(Name, Names, Count))
    Homes.push_back(*Members[Index]);
  return Homes;
}

} // namespace knapweedloft::app
