#include "KeeperClaims.h"

#include "policy/LeaseHolderElection.h"
#include "policy/RateShard.h"

#include <algorithm>

namespace knapweedloft::app {
namespace {

/// Choices that may claim a shard, one after the other.
constexpr std::size_t ChoiceCount = 4;

/// A claim that did not show in the state is repeated after so many turns.
constexpr int RepeatTurns = 3;

absl::flat_hash_set<std::uint32_t> shardsInUse(const state::Snapshot &State) {
  absl::flat_hash_set<std::uint32_t> Shards;
  for (const state::HeldResource *Held : State.list(model::ResourceKind::Rate))
    Shards.insert(policy::rateShardOf(model::nameOf(Held->m_Resource)));
  return Shards;
}

} // namespace

bool isVacant(const state::Snapshot &State, const state::KeeperRecord &Record) {
  if (Record.m_Epoch == 0)
    return true;
  const model::Member *Keeper = State.findMember(Record.m_Name);
  return !Keeper || Keeper->m_Incarnation != Record.m_Incarnation;
}

std::vector<state::KeeperClaim>
KeeperClaims::claims(const state::Snapshot &State,
                     const std::function<bool(const std::string &)> &IsAlive,
                     absl::Time Now) {
  std::vector<state::KeeperClaim> Wanted;
  for (std::uint32_t Shard : shardsInUse(State)) {
    state::KeeperRecord Record = State.keeperOf(Shard);
    if (!isVacant(State, Record))
      continue;
    Vacancy &Open = m_Vacancies[Shard];
    if (Open.m_Since == absl::Time() || Open.m_Former.m_Epoch != Record.m_Epoch)
      Open = {Record, Now};
    absl::Duration Turn = turnOf(Shard, State, IsAlive);
    if (Now < Open.m_Since + Turn ||
        Now < Open.m_ClaimedAt + RepeatTurns * m_Settings.m_Turn)
      continue;
    Open.m_ClaimedAt = Now;
    Wanted.push_back({.m_Shard = Shard,
                      .m_ExpectedEpoch = Record.m_Epoch,
                      .m_Name = m_Settings.m_Self.m_Name,
                      .m_Incarnation = m_Settings.m_Self.m_Incarnation});
  }
  return Wanted;
}

void KeeperClaims::onRecord(std::uint32_t Shard,
                            const state::KeeperRecord &Record, absl::Time Now) {
  auto [Found, IsNew] =
      m_Seen.try_emplace(Shard, Seen{Record.m_Epoch, Now, Now});
  Seen &Known = Found->second;
  if (IsNew || Known.m_Epoch == Record.m_Epoch)
    return;
  bool IsNext = Known.m_Epoch + 1 == Record.m_Epoch;
  Known = {Record.m_Epoch, Now, IsNext ? Known.m_At : Now};
}

absl::Duration KeeperClaims::stopsWithin(const state::Snapshot &State,
                                         std::uint32_t Shard,
                                         std::uint64_t Epoch,
                                         absl::Time Now) const {
  auto Found = m_Vacancies.find(Shard);
  if (Found == m_Vacancies.end() ||
      Found->second.m_Former.m_Epoch + 1 != Epoch ||
      !hasStopped(State, Found->second.m_Former))
    return m_Settings.m_StopsWithin;
  auto Known = m_Seen.find(Shard);
  bool HadOthers = Found->second.m_Former.m_Epoch > 1;
  if (!HadOthers)
    return absl::ZeroDuration();
  if (Known == m_Seen.end() || Known->second.m_Epoch != Epoch)
    return m_Settings.m_StopsWithin;
  // Those before the former one were replaced by its claim, at the latest when
  // this daemon first saw it.
  return std::max(absl::ZeroDuration(),
                  Known->second.m_FormerAt + m_Settings.m_StopsWithin - Now);
}

bool KeeperClaims::hasStopped(const state::Snapshot &State,
                              const state::KeeperRecord &Former) const {
  // A slot runs one daemon: the next life began after this one had ended.
  const model::Member *Next = State.findMember(Former.m_Name);
  bool IsRestarted = Next && Next->m_Incarnation != Former.m_Incarnation;
  return IsRestarted || m_Left.contains(Former.m_Incarnation);
}

absl::Duration KeeperClaims::turnOf(
    std::uint32_t Shard, const state::Snapshot &State,
    const std::function<bool(const std::string &)> &IsAlive) const {
  std::vector<std::string> Candidates;
  for (const model::Member *Who : State.members())
    if (IsAlive(Who->m_Name) && !State.isWithdrawn(*Who))
      Candidates.push_back(Who->m_Name);
  std::vector<std::string> Elected =
      policy::electLeaseHolders(Shard, Candidates, ChoiceCount);
  auto Own =
      std::find(Elected.begin(), Elected.end(), m_Settings.m_Self.m_Name);
  if (Own == Elected.end())
    return absl::InfiniteDuration();
  return m_Settings.m_Turn * static_cast<double>(Own - Elected.begin());
}

} // namespace knapweedloft::app
