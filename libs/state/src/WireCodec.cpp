#include "WireCodec.h"

#include "state/ResourceRules.h"
#include "state/StateError.h"

#include <algorithm>

namespace knapweedloft::state {
namespace {

template <typename EnumT, std::size_t Count>
EnumT enumFromWire(const model::NameTable<EnumT, Count> &, std::uint8_t Value) {
  if (Value >= Count)
    throw StateError("an enumerator is out of range");
  return static_cast<EnumT>(Value);
}

wire::CustomerT wireOf(const model::Customer &What) {
  wire::CustomerT Wire;
  Wire.name = What.m_Name;
  Wire.display_name = What.m_DisplayName;
  return Wire;
}

wire::KeyT wireOf(const model::Key &What) {
  wire::KeyT Wire;
  Wire.name = What.m_Name;
  Wire.customer = What.m_Customer;
  Wire.digest.assign(What.m_Digest.begin(), What.m_Digest.end());
  return Wire;
}

wire::RateT wireOf(const model::Rate &What) {
  wire::RateT Wire;
  Wire.name = What.m_Name;
  Wire.per_second = What.m_PerSecond;
  Wire.burst = What.m_Burst;
  return Wire;
}

wire::RouteT wireOf(const model::Route &What) {
  wire::RouteT Wire;
  Wire.name = What.m_Name;
  Wire.path_prefix = What.m_PathPrefix;
  Wire.method = What.m_Method;
  Wire.service = What.m_Service;
  Wire.priority = static_cast<std::uint8_t>(What.m_Priority);
  Wire.is_open = What.m_IsOpen;
  Wire.is_idempotent = What.m_IsIdempotent;
  Wire.timeout_us = absl::ToInt64Microseconds(What.m_Timeout);
  return Wire;
}

wire::WithdrawalT wireOf(const model::Withdrawal &What) {
  wire::WithdrawalT Wire;
  Wire.name = What.m_Name;
  Wire.scope = static_cast<std::uint8_t>(What.m_Scope);
  Wire.subject = What.m_Subject;
  return Wire;
}

wire::QuarantineT wireOf(const model::Quarantine &What) {
  wire::QuarantineT Wire;
  Wire.name = What.m_Name;
  Wire.fingerprint = What.m_Fingerprint;
  Wire.reason = What.m_Reason;
  Wire.expires_us = absl::ToUnixMicros(What.m_Expires);
  return Wire;
}

model::Resource modelOf(const wire::CustomerT &Wire) {
  return model::Customer{.m_Name = Wire.name,
                         .m_DisplayName = Wire.display_name};
}

model::Resource modelOf(const wire::KeyT &Wire) {
  model::Key What{.m_Name = Wire.name, .m_Customer = Wire.customer};
  if (Wire.digest.size() != What.m_Digest.size())
    throw StateError("a key's digest has the wrong size");
  std::copy(Wire.digest.begin(), Wire.digest.end(), What.m_Digest.begin());
  return What;
}

model::Resource modelOf(const wire::RateT &Wire) {
  return model::Rate{.m_Name = Wire.name,
                     .m_PerSecond = Wire.per_second,
                     .m_Burst = Wire.burst};
}

model::Resource modelOf(const wire::RouteT &Wire) {
  return model::Route{
      .m_Name = Wire.name,
      .m_PathPrefix = Wire.path_prefix,
      .m_Method = Wire.method,
      .m_Service = Wire.service,
      .m_Priority = enumFromWire(model::PriorityNames, Wire.priority),
      .m_IsOpen = Wire.is_open,
      .m_IsIdempotent = Wire.is_idempotent,
      .m_Timeout =
          absl::Microseconds(static_cast<std::int64_t>(Wire.timeout_us))};
}

model::Resource modelOf(const wire::WithdrawalT &Wire) {
  return model::Withdrawal{
      .m_Name = Wire.name,
      .m_Scope = enumFromWire(model::WithdrawalScopeNames, Wire.scope),
      .m_Subject = Wire.subject};
}

model::Resource modelOf(const wire::QuarantineT &Wire) {
  return model::Quarantine{.m_Name = Wire.name,
                           .m_Fingerprint = Wire.fingerprint,
                           .m_Reason = Wire.reason,
                           .m_Expires = absl::FromUnixMicros(Wire.expires_us)};
}

model::Resource modelOfUnion(const wire::ResourceUnion &Wire) {
  if (Wire.value == nullptr)
    throw StateError("a resource is empty");
  switch (Wire.type) {
  case wire::Resource::Customer:
    return modelOf(*Wire.AsCustomer());
  case wire::Resource::Key:
    return modelOf(*Wire.AsKey());
  case wire::Resource::Rate:
    return modelOf(*Wire.AsRate());
  case wire::Resource::Route:
    return modelOf(*Wire.AsRoute());
  case wire::Resource::Withdrawal:
    return modelOf(*Wire.AsWithdrawal());
  case wire::Resource::Quarantine:
    return modelOf(*Wire.AsQuarantine());
  case wire::Resource::NONE:
    break;
  }
  throw StateError("a resource is missing or of an unknown kind");
}

} // namespace

wire::ResourceUnion toWire(const model::Resource &What) {
  wire::ResourceUnion Wire;
  std::visit([&Wire](const auto &One) { Wire.Set(wireOf(One)); }, What);
  return Wire;
}

model::Resource fromWire(const wire::ResourceUnion &What) {
  model::Resource Resource = modelOfUnion(What);
  if (auto Fault = findFault(Resource))
    throw StateError("a resource has a bad " + Fault->m_Field);
  return Resource;
}

wire::MemberT toWire(const model::Member &Who) {
  wire::MemberT Wire;
  Wire.name = Who.m_Name;
  Wire.incarnation = Who.m_Incarnation;
  Wire.address = Who.m_Link.m_Address;
  Wire.port = Who.m_Link.m_Port;
  Wire.region = Who.m_Region;
  Wire.data_center = Who.m_DataCenter;
  Wire.service = Who.m_Service;
  return Wire;
}

model::Member fromWire(const wire::MemberT &Who) {
  model::Member Member{.m_Name = Who.name,
                       .m_Incarnation = Who.incarnation,
                       .m_Link = {Who.address, Who.port},
                       .m_Region = Who.region,
                       .m_DataCenter = Who.data_center,
                       .m_Service = Who.service};
  if (!isWellFormed(Member))
    throw StateError("a member is not well formed");
  return Member;
}

std::vector<std::uint8_t> toBytes(std::string_view Text) {
  return {Text.begin(), Text.end()};
}

std::string toText(const std::vector<std::uint8_t> &Bytes) {
  return {Bytes.begin(), Bytes.end()};
}

} // namespace knapweedloft::state
