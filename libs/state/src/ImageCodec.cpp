#include "ImageCodec.h"

#include "WireCodec.h"
#include "state/ResourceRules.h"
#include "state/StateError.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace knapweedloft::state {
namespace {

void addResources(wire::ImageT &Image, const Snapshot::Impl &State) {
  for (std::size_t Kind = 0; Kind < model::ResourceKindCount; ++Kind) {
    for (const HeldResource *Each :
         State.list(static_cast<model::ResourceKind>(Kind))) {
      auto Wire = std::make_unique<wire::HeldResourceT>();
      Wire->revision = Each->m_Revision;
      Wire->resource = toWire(Each->m_Resource);
      Image.resources.push_back(std::move(Wire));
    }
  }
}

void addMembers(wire::ImageT &Image, const MemberTable &Members) {
  for (const model::Member *Each : Members.all()) {
    auto Wire = std::make_unique<wire::HeldMemberT>();
    Wire->since = Members.find(Each->m_Name)->m_Since;
    Wire->member = std::make_unique<wire::MemberT>(toWire(*Each));
    Image.members.push_back(std::move(Wire));
  }
}

void addKeepers(wire::ImageT &Image, const Snapshot::Impl &State) {
  State.m_Keepers.forEach(
      [&Image](std::uint32_t Shard, const KeeperRecord &Keeper) {
        auto Wire = std::make_unique<wire::KeeperT>();
        Wire->shard = Shard;
        Wire->epoch = Keeper.m_Epoch;
        Wire->name = Keeper.m_Name;
        Wire->incarnation = Keeper.m_Incarnation;
        Wire->since = Keeper.m_Since;
        Image.keepers.push_back(std::move(Wire));
      });
  std::sort(Image.keepers.begin(), Image.keepers.end(),
            [](const auto &Left, const auto &Right) {
              return Left->shard < Right->shard;
            });
}

void addSettled(wire::ImageT &Image, const SettledChanges &Settled) {
  for (const SettledChanges::Entry &Each : Settled.entries()) {
    auto Wire = std::make_unique<wire::SeenChangeT>();
    Wire->change_id = Each.m_ChangeId;
    Wire->offset = Each.m_Settled.m_Offset;
    Wire->outcome = static_cast<std::uint8_t>(Each.m_Settled.m_Outcome);
    Image.seen.push_back(std::move(Wire));
  }
}

void loadMembers(const wire::ImageT &Image, MemberTable &Members) {
  std::vector<HeldMember> All;
  All.reserve(Image.members.size());
  for (const auto &Each : Image.members) {
    if (Each->member == nullptr)
      throw StateError("a member of an image is missing");
    All.push_back({Each->since, fromWire(*Each->member)});
  }
  Members.assign(std::move(All));
}

void loadKeepers(const wire::ImageT &Image, Snapshot::Impl &State) {
  for (const auto &Each : Image.keepers)
    State.m_Keepers.set(Each->shard, {.m_Epoch = Each->epoch,
                                      .m_Name = Each->name,
                                      .m_Incarnation = Each->incarnation,
                                      .m_Since = Each->since});
}

void loadSettled(const wire::ImageT &Image, SettledChanges &Settled) {
  for (const auto &Each : Image.seen) {
    if (Each->outcome >= ChangeOutcomeNames.m_Names.size())
      throw StateError("an outcome of an image is out of range");
    Settled.add(Each->change_id,
                {Each->offset, static_cast<ChangeOutcome>(Each->outcome)});
  }
}

const wire::Image &verifiedImage(std::string_view Bytes) {
  constexpr flatbuffers::uoffset_t MaxDepth = 64;
  constexpr flatbuffers::uoffset_t MaxTables = 10'000'000;
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size(), MaxDepth, MaxTables);
  if (!Verifier.VerifyBuffer<wire::Image>(nullptr))
    throw StateError("the bytes are not an image");
  return *flatbuffers::GetRoot<wire::Image>(Data);
}

} // namespace

std::string encodeImage(const Snapshot::Impl &State,
                        const SettledChanges &Settled,
                        const RetiredIncarnations &Retired) {
  wire::ImageT Image;
  Image.offset = State.m_Offset;
  addResources(Image, State);
  addMembers(Image, State.m_Members);
  addKeepers(Image, State);
  addSettled(Image, Settled);
  Image.retired.assign(Retired.entries().begin(), Retired.entries().end());
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::Image::Pack(Builder, &Image));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

void decodeImage(std::string_view Bytes, Snapshot::Impl &State,
                 SettledChanges &Settled, RetiredIncarnations &Retired) {
  const std::unique_ptr<wire::ImageT> Image(verifiedImage(Bytes).UnPack());
  State.m_Offset = Image->offset;
  for (const auto &Each : Image->resources)
    State.setAlone({Each->revision, fromWire(Each->resource)});
  State.rebuild();
  loadMembers(*Image, State.m_Members);
  loadKeepers(*Image, State);
  loadSettled(*Image, Settled);
  for (model::Incarnation Each : Image->retired)
    Retired.add(Each);
}

model::LogOffset offsetOfImage(std::string_view Image) {
  return verifiedImage(Image).offset();
}

} // namespace knapweedloft::state
