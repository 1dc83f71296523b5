#include "state/RecordCodec.h"

#include "WireCodec.h"
#include "state/ResourceRules.h"
#include "state/StateError.h"

#include <utility>

namespace knapweedloft::state {
namespace {

constexpr std::size_t MaxChangeIdBytes = 128;

wire::ResourceChangeT wireOf(const ResourceChange &What) {
  wire::ResourceChangeT Wire;
  Wire.change_id = What.m_ChangeId;
  Wire.kind = static_cast<std::uint8_t>(What.m_Kind);
  Wire.name = What.m_Name;
  Wire.expects = What.m_ExpectedRevision.has_value();
  Wire.expected_revision = What.m_ExpectedRevision.value_or(0);
  Wire.is_delete = !What.m_Resource.has_value();
  if (What.m_Resource)
    Wire.resource = toWire(*What.m_Resource);
  return Wire;
}

wire::JoinT wireOf(const Join &What) {
  wire::JoinT Wire;
  Wire.member = std::make_unique<wire::MemberT>(toWire(What.m_Member));
  return Wire;
}

wire::LeaveT wireOf(const Leave &What) {
  wire::LeaveT Wire;
  Wire.name = What.m_Name;
  Wire.incarnation = What.m_Incarnation;
  Wire.is_death = What.m_IsDeath;
  return Wire;
}

wire::KeeperClaimT wireOf(const KeeperClaim &What) {
  wire::KeeperClaimT Wire;
  Wire.shard = What.m_Shard;
  Wire.expected_epoch = What.m_ExpectedEpoch;
  Wire.name = What.m_Name;
  Wire.incarnation = What.m_Incarnation;
  return Wire;
}

wire::ImagePartT wireOf(const ImagePart &What) {
  wire::ImagePartT Wire;
  Wire.offset = What.m_Offset;
  Wire.index = What.m_Index;
  Wire.count = What.m_Count;
  Wire.checksum = What.m_Checksum;
  Wire.bytes = toBytes(What.m_Bytes);
  return Wire;
}

void checkName(const std::string &Name) {
  if (!isName(Name))
    throw StateError("a name is not well formed");
}

/// \throws StateError unless \p Change agrees with itself.
void checkConsistency(const ResourceChange &Change) {
  const std::size_t IdBytes = Change.m_ChangeId.size();
  if (IdBytes == 0 || IdBytes > MaxChangeIdBytes)
    throw StateError("a change id is empty or too long");
  checkName(Change.m_Name);
  if (!Change.m_Resource)
    return;
  if (model::kindOf(*Change.m_Resource) != Change.m_Kind ||
      model::nameOf(*Change.m_Resource) != Change.m_Name)
    throw StateError("a change does not agree with its resource");
}

Entry entryOf(const wire::ResourceChangeT &Wire) {
  if (Wire.kind >= model::ResourceKindCount)
    throw StateError("a change has an unknown kind");
  ResourceChange Change{.m_ChangeId = Wire.change_id,
                        .m_Kind = static_cast<model::ResourceKind>(Wire.kind),
                        .m_Name = Wire.name};
  if (Wire.expects)
    Change.m_ExpectedRevision = Wire.expected_revision;
  if (!Wire.is_delete)
    Change.m_Resource = fromWire(Wire.resource);
  checkConsistency(Change);
  return Change;
}

Entry entryOf(const wire::JoinT &Wire) {
  if (Wire.member == nullptr)
    throw StateError("a join has no member");
  return Join{fromWire(*Wire.member)};
}

Entry entryOf(const wire::LeaveT &Wire) {
  checkName(Wire.name);
  return Leave{Wire.name, Wire.incarnation, Wire.is_death};
}

Entry entryOf(const wire::KeeperClaimT &Wire) {
  checkName(Wire.name);
  return KeeperClaim{Wire.shard, Wire.expected_epoch, Wire.name,
                     Wire.incarnation};
}

Entry entryOf(const wire::ImagePartT &Wire) {
  return ImagePart{Wire.offset, Wire.index, Wire.count, Wire.checksum,
                   toText(Wire.bytes)};
}

Entry entryOfUnion(const wire::EntryUnion &Wire) {
  // The verifier lets a union pass that has a type but no value.
  if (Wire.value == nullptr)
    throw StateError("a record is empty");
  switch (Wire.type) {
  case wire::Entry::ResourceChange:
    return entryOf(*Wire.AsResourceChange());
  case wire::Entry::Join:
    return entryOf(*Wire.AsJoin());
  case wire::Entry::Leave:
    return entryOf(*Wire.AsLeave());
  case wire::Entry::KeeperClaim:
    return entryOf(*Wire.AsKeeperClaim());
  case wire::Entry::ImagePart:
    return entryOf(*Wire.AsImagePart());
  case wire::Entry::NONE:
    break;
  }
  throw StateError("a record is empty or of an unknown kind");
}

} // namespace

std::string encodeRecord(const Record &What) {
  wire::RecordT Wire;
  Wire.written_us = absl::ToUnixMicros(What.m_Written);
  std::visit([&Wire](const auto &One) { Wire.entry.Set(wireOf(One)); },
             What.m_Entry);
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::Record::Pack(Builder, &Wire));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

Record decodeRecord(std::string_view Payload) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Payload.data());
  flatbuffers::Verifier Verifier(Bytes, Payload.size());
  if (!wire::VerifyRecordBuffer(Verifier))
    throw StateError("the bytes are not a record");
  const std::unique_ptr<wire::RecordT> Wire(wire::GetRecord(Bytes)->UnPack());
  return {.m_Written = absl::FromUnixMicros(Wire->written_us),
          .m_Entry = entryOfUnion(Wire->entry)};
}

} // namespace knapweedloft::state
