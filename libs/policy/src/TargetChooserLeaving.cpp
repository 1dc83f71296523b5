// The part of TargetChooser::Impl that decides whether a request leaves the own
// data center by the room there and elsewhere.
#include "TargetChooserImpl.h"

#include <algorithm>
#include <map>

namespace knapweedloft::policy {
namespace {

/// Time between two looks at the room. Reports come at most a few times in it.
constexpr absl::Duration SpillUpdateInterval = absl::Milliseconds(50);
/// Two heartbeats. A target that has been silent for longer counts neither as
/// load nor as room.
constexpr absl::Duration MaxLoadAge = absl::Milliseconds(1100);
/// Added time to a data center that no request has been sent to.
constexpr absl::Duration AssumedAddedTime = absl::Milliseconds(5);
constexpr absl::Duration AssumedAddedTimeToRegion = absl::Milliseconds(60);

} // namespace

void TargetChooser::Impl::onTransfer(TargetHandle Target, absl::Duration Way,
                                     std::size_t Bytes, absl::Time Now) {
  if (m_Spill)
    m_Transfers.onAnswer(at(Target).m_Info.m_DataCenter, Way, Bytes, Now);
}

std::optional<TargetChooser::Leaving> TargetChooser::Impl::leaving() const {
  if (!m_Spill)
    return std::nullopt;
  return Leaving{.m_Share = m_Spill->share(),
                 .m_Gain = m_Spill->gain(),
                 .m_Home = m_Home,
                 .m_Others = m_Others};
}

DataCenterRoom
TargetChooser::Impl::roomOf(const std::string &Name,
                            const std::vector<std::uint32_t> &Targets,
                            absl::Time Now) const {
  DataCenterRoom Room{.m_Name = Name};
  double Queued = 0;
  double FullSlots = 0;
  for (std::uint32_t Index : Targets) {
    const TargetStats &Stats = m_Stats[Index];
    absl::Duration Age = Now - Stats.m_LoadedAt;
    if (Age > MaxLoadAge || Stats.m_Health.isEjected())
      continue;
    double Running = Stats.m_Load.m_InFlight;
    double Slots = std::max(1.0F, Stats.m_Load.m_Limit);
    // A cold target has no room beyond what it runs already.
    if (Stats.m_Load.m_IsRamping)
      Slots = std::clamp(Running, 1.0, Slots);
    double Sent =
        std::max<double>(0, static_cast<double>(Stats.m_SentSinceLoad));
    double Requests = Running + Stats.m_Load.m_Queued + Sent;
    Room.m_Slots += Slots;
    Room.m_Requests += std::min(Requests, Slots);
    Queued += std::max(0.0, Requests - Slots);
    FullSlots += Requests >= Slots ? Slots : 0;
    Room.m_RunTime += Slots * Stats.m_Load.m_Latency;
    Room.m_NewsAge += Slots * Age;
  }
  if (Room.m_Slots > 0) {
    // Of two drawn the one with a free slot is taken: a request meets a queue
    // only where both are full.
    double FullShare = FullSlots / Room.m_Slots;
    Room.m_Requests += FullShare * FullShare * Queued;
    Room.m_RunTime /= Room.m_Slots;
    Room.m_NewsAge /= Room.m_Slots;
  }
  return Room;
}

void TargetChooser::Impl::updateSpill(absl::Time Now) {
  if (Now - m_SpillUpdatedAt < SpillUpdateInterval)
    return;
  m_SpillUpdatedAt = Now;
  m_Home = roomOf(m_Settings.m_DataCenter, m_Tiers[0], Now);
  std::map<std::pair<std::string, std::size_t>, std::vector<std::uint32_t>>
      ByName;
  for (std::size_t Tier = 1; Tier < TierCount; ++Tier)
    for (std::uint32_t Index : m_Tiers[Tier])
      ByName[{m_Stats[Index].m_Info.m_DataCenter, Tier}].push_back(Index);
  m_Others.clear();
  m_OtherTargets.clear();
  for (auto &[Key, Targets] : ByName) {
    const auto &[Name, Tier] = Key;
    DataCenterRoom Room = roomOf(Name, Targets, Now);
    Room.m_AddedTime = m_Transfers.addedTime(
        Name, m_Settings.m_DataCenter,
        Tier > 1 ? AssumedAddedTimeToRegion : AssumedAddedTime, Now);
    m_Others.push_back(std::move(Room));
    m_OtherTargets.push_back(std::move(Targets));
  }
  m_Spill->update(m_Home, m_Others, m_Transfers.meanBytes(), Now);
}

std::optional<TargetHandle>
TargetChooser::Impl::chooseBySpill(const ChoiceContext &Context,
                                   absl::BitGenRef Random, absl::Time Now) {
  updateSpill(Now);
  // One that was refused goes where the load is least at this moment.
  if (!Context.m_Excluded.empty() && !Context.m_HasCrossed)
    return std::nullopt;
  double Bytes = static_cast<double>(Context.m_Bytes) + m_Transfers.meanBytes();
  if (auto Other = m_Spill->choose(
          {.m_Bytes = Bytes, .m_HasCrossed = Context.m_HasCrossed}, Random))
    if (auto Drawn = drawAmong(m_OtherTargets[*Other], Context, Random, Now))
      return Drawn->m_Target;
  if (auto Drawn = drawLessLoaded(0, Context, Random, Now))
    return Drawn->m_Target;
  return std::nullopt;
}

} // namespace knapweedloft::policy
