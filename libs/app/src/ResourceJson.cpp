#include "app/ResourceJson.h"

#include "FieldReader.h"
#include "app/ApiError.h"
#include "state/KeyText.h"
#include "state/ResourceRules.h"

#include <fmt/format.h>

#include <cstdint>

namespace knapweedloft::app {
namespace {

using Json = nlohmann::json;

constexpr int BadRequest = 400;

model::Resource customerFrom(FieldReader &Fields, const std::string &Name) {
  return model::Customer{.m_Name = Name,
                         .m_DisplayName = Fields.text("display_name", "")};
}

model::Resource keyFrom(FieldReader &Fields, const std::string &Name) {
  model::Key What{.m_Name = Name, .m_Customer = Fields.text("customer")};
  const auto Digest = state::digestFromHex(Fields.text("digest"));
  if (!Digest)
    Fields.fail("digest", "the SHA-256 of the key as 64 hexadecimal digits");
  What.m_Digest = *Digest;
  return What;
}

model::Resource rateFrom(FieldReader &Fields, const std::string &Name) {
  return model::Rate{.m_Name = Name,
                     .m_PerSecond = Fields.number("per_second"),
                     .m_Burst = Fields.number("burst")};
}

model::Resource routeFrom(FieldReader &Fields, const std::string &Name) {
  const model::Route Default;
  const auto TimeoutMs =
      static_cast<double>(absl::ToInt64Milliseconds(Default.m_Timeout));
  return model::Route{
      .m_Name = Name,
      .m_PathPrefix = Fields.text("path_prefix"),
      .m_Method = Fields.text("method", ""),
      .m_Service = Fields.text("service"),
      .m_Priority =
          Fields.choice("priority", model::PriorityNames, Default.m_Priority),
      .m_IsOpen = Fields.flag("open", Default.m_IsOpen),
      .m_IsIdempotent = Fields.flag("idempotent", Default.m_IsIdempotent),
      .m_Timeout = absl::Milliseconds(Fields.number("timeout_ms", TimeoutMs))};
}

model::Resource withdrawalFrom(FieldReader &Fields, const std::string &Name) {
  return model::Withdrawal{
      .m_Name = Name,
      .m_Scope = Fields.choice("scope", model::WithdrawalScopeNames),
      .m_Subject = Fields.text("subject")};
}

model::Resource quarantineFrom(FieldReader &Fields, const std::string &Name) {
  model::Quarantine What{.m_Name = Name, .m_Reason = Fields.text("reason", "")};
  const auto Print = FieldReader::hexNumber(Name);
  if (!Print)
    Fields.fail("name", "the fingerprint as 16 hexadecimal digits");
  What.m_Fingerprint = *Print;
  std::string Error;
  if (!absl::ParseTime(absl::RFC3339_full, Fields.text("expires"),
                       &What.m_Expires, &Error))
    Fields.fail("expires", "a time as in RFC 3339");
  return What;
}

model::Resource readFields(model::ResourceKind Kind, FieldReader &Fields,
                           const std::string &Name) {
  switch (Kind) {
  case model::ResourceKind::Customer:
    return customerFrom(Fields, Name);
  case model::ResourceKind::Key:
    return keyFrom(Fields, Name);
  case model::ResourceKind::Rate:
    return rateFrom(Fields, Name);
  case model::ResourceKind::Route:
    return routeFrom(Fields, Name);
  case model::ResourceKind::Withdrawal:
    return withdrawalFrom(Fields, Name);
  case model::ResourceKind::Quarantine:
    return quarantineFrom(Fields, Name);
  }
  throw ApiError(BadRequest, "bad-request", "the kind is unknown");
}

Json fieldsOf(const model::Customer &What) {
  return {{"display_name", What.m_DisplayName}};
}

Json fieldsOf(const model::Key &What) {
  return {{"customer", What.m_Customer},
          {"digest", state::hexOf(What.m_Digest)}};
}

Json fieldsOf(const model::Rate &What) {
  return {{"per_second", What.m_PerSecond}, {"burst", What.m_Burst}};
}

Json fieldsOf(const model::Route &What) {
  return {{"path_prefix", What.m_PathPrefix},
          {"method", What.m_Method},
          {"service", What.m_Service},
          {"priority", model::PriorityNames.nameOf(What.m_Priority)},
          {"open", What.m_IsOpen},
          {"idempotent", What.m_IsIdempotent},
          {"timeout_ms", absl::ToInt64Milliseconds(What.m_Timeout)}};
}

Json fieldsOf(const model::Withdrawal &What) {
  return {{"scope", model::WithdrawalScopeNames.nameOf(What.m_Scope)},
          {"subject", What.m_Subject}};
}

Json fieldsOf(const model::Quarantine &What) {
  return {{"reason", What.m_Reason},
          {"expires", absl::FormatTime(absl::RFC3339_full, What.m_Expires,
                                       absl::UTCTimeZone())}};
}

} // namespace

Json parseJsonObject(std::string_view Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    throw ApiError(BadRequest, "bad-request", "the body is not a JSON object");
  return Parsed;
}

model::Resource resourceFromJson(model::ResourceKind Kind,
                                 const std::string &Name, const Json &Fields) {
  FieldReader Reader(Fields);
  if (Reader.text("name", Name) != Name)
    Reader.fail("name", "the name in the path, " + Name);
  model::Resource What = readFields(Kind, Reader, Name);
  Reader.finish();
  if (const auto Fault = state::findFault(What))
    Reader.fail(Fault->m_Field, Fault->m_Allowed);
  return What;
}

Json jsonOf(const model::Resource &What) {
  Json Fields = std::visit([](const auto &One) { return fieldsOf(One); }, What);
  Fields["name"] = model::nameOf(What);
  return Fields;
}

Json jsonOf(const state::HeldResource &Held) {
  Json Fields = jsonOf(Held.m_Resource);
  Fields["kind"] =
      model::ResourceKindNames.nameOf(model::kindOf(Held.m_Resource));
  Fields["revision"] = Held.m_Revision;
  return Fields;
}

} // namespace knapweedloft::app
