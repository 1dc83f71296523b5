#include "MemberTable.h"

#include "model/AbslView.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::state {
namespace {

using List = MemberTable::List;

const List EmptyList;

bool isBefore(const model::Member *Left, const model::Member *Right) {
  return Left->m_Name < Right->m_Name;
}

List withMember(List Members, const model::Member *Member) {
  auto Place =
      std::lower_bound(Members.begin(), Members.end(), Member, isBefore);
  Members.insert(Place, Member);
  return Members;
}

List withoutMember(List Members, const model::Member *Member) {
  std::erase(Members, Member);
  return Members;
}

} // namespace

MemberTable::MemberTable()
    : m_ByService(std::make_shared<const Services>()),
      m_All(std::make_shared<const List>()) {}

const HeldMember *MemberTable::find(std::string_view Name) const {
  const auto *Found = m_ByName.find(model::toAbsl(Name));
  return Found == nullptr ? nullptr : Found->get();
}

const List &MemberTable::ofService(std::string_view Service) const {
  auto Found = m_ByService->find(model::toAbsl(Service));
  return Found == m_ByService->end() ? EmptyList : *Found->second;
}

void MemberTable::set(HeldMember Member) {
  if (const HeldMember *Former = find(Member.m_Member.m_Name))
    removeFromLists(Former->m_Member);
  auto Held = std::make_shared<const HeldMember>(std::move(Member));
  const model::Member *Entry = &Held->m_Member;
  m_ByName.set(Entry->m_Name, std::move(Held));
  m_All = std::make_shared<const List>(withMember(*m_All, Entry));
  setServiceList(Entry->m_Service,
                 withMember(ofService(Entry->m_Service), Entry));
}

void MemberTable::erase(std::string_view Name) {
  const HeldMember *Former = find(Name);
  if (Former == nullptr)
    return;
  removeFromLists(Former->m_Member);
  m_ByName.erase(model::toAbsl(Name));
}

void MemberTable::assign(std::vector<HeldMember> Members) {
  *this = MemberTable();
  std::sort(Members.begin(), Members.end(),
            [](const HeldMember &Left, const HeldMember &Right) {
              return Left.m_Member.m_Name < Right.m_Member.m_Name;
            });
  List All;
  absl::flat_hash_map<std::string, List> Lists;
  for (HeldMember &Each : Members) {
    auto Held = std::make_shared<const HeldMember>(std::move(Each));
    const model::Member *Entry = &Held->m_Member;
    m_ByName.set(Entry->m_Name, std::move(Held));
    All.push_back(Entry);
    Lists[Entry->m_Service].push_back(Entry);
  }
  m_All = std::make_shared<const List>(std::move(All));
  auto ByService = std::make_shared<Services>();
  for (auto &[Service, Entries] : Lists)
    (*ByService)[Service] = std::make_shared<const List>(std::move(Entries));
  m_ByService = std::move(ByService);
}

MemberTable MemberTable::freeze() {
  MemberTable Frozen;
  Frozen.m_ByName = m_ByName.freeze();
  Frozen.m_ByService = m_ByService;
  Frozen.m_All = m_All;
  return Frozen;
}

void MemberTable::removeFromLists(const model::Member &Member) {
  m_All = std::make_shared<const List>(withoutMember(*m_All, &Member));
  setServiceList(Member.m_Service,
                 withoutMember(ofService(Member.m_Service), &Member));
}

void MemberTable::setServiceList(const std::string &Service, List Members) {
  auto Next = std::make_shared<Services>(*m_ByService);
  if (Members.empty())
    Next->erase(Service);
  else
    (*Next)[Service] = std::make_shared<const List>(std::move(Members));
  m_ByService = std::move(Next);
}

} // namespace knapweedloft::state
