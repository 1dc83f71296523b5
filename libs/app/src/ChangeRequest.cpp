#include "ChangeRequest.h"

#include "FieldReader.h"
#include "app/ApiError.h"
#include "app/ResourceJson.h"
#include "state/ImageParts.h"
#include "state/KeyText.h"
#include "state/ResourceRules.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr int BadRequest = 400;
constexpr int PreconditionFailed = 412;
constexpr std::size_t MaxClientIdBytes = 100;

std::string clientIdOf(const ApiRequest &Request,
                       const std::function<std::string()> &MakeId) {
  const auto Given = Request.header("Change-Id");
  if (!Given)
    return MakeId();
  const bool IsVisible =
      std::all_of(Given->begin(), Given->end(),
                  [](char Letter) { return Letter > ' ' && Letter < 0x7f; });
  if (Given->empty() || Given->size() > MaxClientIdBytes || !IsVisible)
    throw ApiError(BadRequest, "bad-request",
                   "Change-Id must be 1 to 100 visible ASCII characters",
                   "Change-Id");
  return *Given;
}

std::optional<std::uint64_t> expectedRevision(const ApiRequest &Request,
                                              const state::HeldResource *Held) {
  const Precondition Demand = preconditionOf(Request);
  if (!Demand.m_MustExist)
    return Demand.m_Revision;
  if (Held == nullptr)
    throw ApiError(PreconditionFailed, "revision-mismatch",
                   "the resource does not exist");
  return Held->m_Revision;
}

void checkName(const std::string &Name) {
  if (!state::isName(Name))
    throw ApiError(BadRequest, "bad-request",
                   "name must be 1 to 64 of a-z, 0-9 and -", "name");
}

std::string bindId(const std::string &ClientId, const std::string &Asked) {
  return fmt::format("{}/{:016x}", ClientId, state::checksumOf(Asked));
}

/// What a change asks for, in a text that is equal for equal changes.
std::string askedBy(const state::ResourceChange &Change) {
  const std::string Expected = Change.m_ExpectedRevision
                                   ? std::to_string(*Change.m_ExpectedRevision)
                                   : "any";
  const std::string Content =
      Change.m_Resource ? jsonOf(*Change.m_Resource).dump() : "delete";
  return fmt::format("{} {} {} {}",
                     model::ResourceKindNames.nameOf(Change.m_Kind),
                     Change.m_Name, Expected, Content);
}

ChangeRequest changeOfOne(const ApiRequest &Request,
                          const state::Snapshot &State,
                          const std::function<std::string()> &MakeId) {
  ChangeRequest Asked{.m_ClientId = clientIdOf(Request, MakeId)};
  state::ResourceChange &Change = Asked.m_Change;
  Change.m_Kind = Request.kind();
  Change.m_Name = Request.m_Segments[1];
  checkName(Change.m_Name);
  const auto *Held = State.find(Change.m_Kind, Change.m_Name);
  Asked.m_IsNew = Held == nullptr;
  Change.m_ExpectedRevision = expectedRevision(Request, Held);
  if (Request.m_Method == "PUT")
    Change.m_Resource = resourceFromJson(
        Change.m_Kind, Change.m_Name, parseJsonObject(Request.m_Http->m_Body));
  Change.m_ChangeId = bindId(Asked.m_ClientId, askedBy(Change));
  return Asked;
}

ChangeRequest newKey(const ApiRequest &Request,
                     const std::function<std::string()> &MakeId) {
  const nlohmann::json Body = parseJsonObject(Request.m_Http->m_Body);
  FieldReader Fields(Body);
  const std::string Customer = Fields.text("customer");
  ChangeRequest Asked{.m_ClientId = clientIdOf(Request, MakeId),
                      .m_KeyText = state::makeKeyText(),
                      .m_IsNew = true};
  // A made name depends on the change id alone, so that a repetition of the
  // request asks for the same.
  const std::string MadeName =
      fmt::format("key-{:016x}", state::checksumOf(Asked.m_ClientId));
  const std::string Name = Fields.text("name", MadeName);
  Fields.finish();
  checkName(Name);
  if (!state::isName(Customer))
    Fields.fail("customer", "1 to 64 of a-z, 0-9 and -");
  state::ResourceChange &Change = Asked.m_Change;
  Change.m_Kind = model::ResourceKind::Key;
  Change.m_Name = Name;
  Change.m_ExpectedRevision = 0;
  Change.m_Resource = model::Key{.m_Name = Name,
                                 .m_Customer = Customer,
                                 .m_Digest = state::digestOf(Asked.m_KeyText)};
  Change.m_ChangeId =
      bindId(Asked.m_ClientId, fmt::format("new key {} {}", Name, Customer));
  return Asked;
}

} // namespace

ChangeRequest changeRequestOf(const ApiRequest &Request,
                              const state::Snapshot &State,
                              const std::function<std::string()> &MakeId) {
  if (Request.m_Method == "POST")
    return newKey(Request, MakeId);
  return changeOfOne(Request, State, MakeId);
}

} // namespace knapweedloft::app
