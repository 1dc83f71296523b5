#include "StateSlopes.h"

#include "ProcessUse.h"
#include "Targets.h"
#include "state/KeyText.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include "fmt/format.h"

#include <memory>
#include <vector>

namespace knapweedloft::capacity {
namespace {

constexpr int Regions = 3;
constexpr int TimedChanges = 50;
constexpr double CustomersToCome = 2000;

using ReplicaPtr = std::unique_ptr<state::StateReplica>;

void apply(state::StateReplica &Replica, state::Entry Entry) {
  state::Record Record{.m_Entry = std::move(Entry)};
  Replica.applyRecord(Replica.offset(), state::encodeRecord(Record));
}

void put(state::StateReplica &Replica, model::Resource What) {
  state::ResourceChange Change;
  Change.m_ChangeId = fmt::format("c-{}", Replica.offset());
  Change.m_Kind = model::kindOf(What);
  Change.m_Name = model::nameOf(What);
  Change.m_Resource = std::move(What);
  apply(Replica, std::move(Change));
}

void addMembers(state::StateReplica &Replica, int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    model::Member Who;
    Who.m_Name = fmt::format("vm-{:05}", Index);
    Who.m_Incarnation = 1000 + static_cast<model::Incarnation>(Index);
    Who.m_Link = {fmt::format("10.{}.{}.{}", Index >> 16, (Index >> 8) & 255,
                              Index & 255),
                  7400};
    Who.m_Region = fmt::format("region-{}", Index % Regions);
    Who.m_DataCenter =
        fmt::format("dc-{}", Index % static_cast<int>(DataCenters));
    Who.m_Service = fmt::format("svc-{}", Index % static_cast<int>(Services));
    apply(Replica, state::Join{Who});
  }
}

/// A customer has a rate and two keys.
void addCustomers(state::StateReplica &Replica, int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    std::string Name = fmt::format("customer-{}", Index);
    put(Replica, model::Customer{.m_Name = Name, .m_DisplayName = Name});
    put(Replica, model::Rate{Name, 500, 1000});
    for (int Key = 0; Key < 2; ++Key) {
      std::string KeyName = fmt::format("key-{}-{}", Index, Key);
      put(Replica, model::Key{KeyName, Name, state::digestOf(KeyName)});
    }
  }
}

void addRoutes(state::StateReplica &Replica) {
  for (int Index = 0; Index < static_cast<int>(Services); ++Index) {
    model::Route Route;
    Route.m_Name = fmt::format("route-{}", Index);
    Route.m_PathPrefix = fmt::format("/svc-{}/", Index);
    Route.m_Service = fmt::format("svc-{}", Index);
    put(Replica, Route);
  }
}

struct StateCost {
  double m_Bytes = 0;
  double m_ImageBytes = 0;
  double m_ChangeSeconds = 0; ///< One change, published.
  double m_LoadSeconds = 0;   ///< Start from an image.
};

StateCost costOf(int MemberCount, int CustomerCount) {
  std::size_t Before = allocatedBytes();
  auto Replica = std::make_unique<state::StateReplica>();
  addMembers(*Replica, MemberCount);
  addCustomers(*Replica, CustomerCount);
  addRoutes(*Replica);
  StateCost Cost;
  Cost.m_Bytes = static_cast<double>(allocatedBytes() - Before);
  std::string Image = Replica->image();
  Cost.m_ImageBytes = static_cast<double>(Image.size());
  double Start = processorSeconds();
  for (int Change = 0; Change < TimedChanges; ++Change)
    put(*Replica, model::Rate{"customer-0", 100.0 + Change, 1000});
  Cost.m_ChangeSeconds = (processorSeconds() - Start) / TimedChanges;
  state::StateReplica Fresh;
  Start = processorSeconds();
  Fresh.loadImage(Image);
  Cost.m_LoadSeconds = processorSeconds() - Start;
  return Cost;
}

} // namespace

double measureState(Sheet &Page) {
  constexpr int FixedCustomers = 500;
  constexpr int FixedMembers = 500;
  std::vector<Sample> Bytes;
  std::vector<Sample> Image;
  std::vector<Sample> Change;
  std::vector<Sample> Load;
  for (int Count : {500, 1000, 2000, 4000, 5800}) {
    StateCost Cost = costOf(Count, FixedCustomers);
    Bytes.push_back({static_cast<double>(Count), Cost.m_Bytes});
    Image.push_back({static_cast<double>(Count), Cost.m_ImageBytes});
    Change.push_back({static_cast<double>(Count), Cost.m_ChangeSeconds});
    Load.push_back({static_cast<double>(Count), Cost.m_LoadSeconds});
  }
  std::vector<Sample> ByCustomers;
  std::vector<Sample> ChangeByCustomers;
  for (int Count : {250, 500, 1000, 2000}) {
    StateCost Cost = costOf(FixedMembers, Count);
    ByCustomers.push_back({static_cast<double>(Count), Cost.m_Bytes});
    ChangeByCustomers.push_back(
        {static_cast<double>(Count), Cost.m_ChangeSeconds});
  }
  LinearFit BytesLine = Page.slope("state.bytes", "members", Bytes);
  LinearFit CustomerLine =
      Page.slope("state.bytes.customers", "customers", ByCustomers);
  LinearFit ImageLine = Page.slope("state.image_bytes", "members", Image);
  LinearFit ChangeLine = Page.slope("state.change_s", "members", Change);
  LinearFit ChangeCustomerLine =
      Page.slope("state.change_s.customers", "customers", ChangeByCustomers);
  LinearFit LoadLine = Page.slope("state.load_image_s", "members", Load);

  double StateBytes = BytesLine.at(Members) +
                      CustomerLine.m_Slope * (CustomersToCome - FixedCustomers);
  Page.row("state.memory", StateBytes, "B", MemoryBytes);
  Page.note("state.image", ImageLine.at(Members), "B");
  double ChangeSeconds =
      ChangeLine.at(Members) +
      ChangeCustomerLine.m_Slope * (CustomersToCome - FixedCustomers);
  double Changes = (ChangesADay + 2 * ReplacementsADay) / SecondsADay;
  Page.row("state.core_share", ChangeSeconds * Changes, "core",
           ControlCoreShare);
  Page.note("state.load_image", LoadLine.at(Members), "s");
  return StateBytes;
}

} // namespace knapweedloft::capacity
