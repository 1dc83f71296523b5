#ifndef KNAPWEEDLOFT_STATE_MEMBERTABLE_H
#define KNAPWEEDLOFT_STATE_MEMBERTABLE_H

#include "CowMap.h"
#include "model/LogOffset.h"
#include "model/Member.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::state {

/// A member and the offset of its join plus one.
struct HeldMember {
  std::uint64_t m_Since = 0;
  model::Member m_Member;
};

/// The members of the fleet with their lists by service, copied on write.
class MemberTable {
public:
  using List = std::vector<const model::Member *>;

  MemberTable();

  [[nodiscard]] const HeldMember *find(std::string_view Name) const;
  [[nodiscard]] const List &ofService(std::string_view Service) const;
  [[nodiscard]] const List &all() const { return *m_All; }

  void set(HeldMember Member);
  void erase(std::string_view Name);

  /// Replaces everything; quicker than many calls of set().
  void assign(std::vector<HeldMember> Members);

  /// \returns a copy that later writes to this table do not change.
  [[nodiscard]] MemberTable freeze();

private:
  using ListPtr = std::shared_ptr<const List>;
  using Services = absl::flat_hash_map<std::string, ListPtr>;

  void removeFromLists(const model::Member &Member);
  void setServiceList(const std::string &Service, List Members);

  CowMap<std::string, std::shared_ptr<const HeldMember>> m_ByName;
  std::shared_ptr<const Services> m_ByService;
  ListPtr m_All;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_MEMBERTABLE_H
