#include "PendingChanges.h"

#include "ApiAnswers.h"
#include "app/ResourceJson.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

using platform::PlatformErrorKind;
using state::ChangeOutcome;

constexpr int StatusOk = 200;
constexpr int Created = 201;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int PreconditionFailed = 412;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int InsufficientStorage = 507;

http::HttpResponse withChangeId(http::HttpResponse Answer,
                                const ChangeRequest &Asked) {
  Answer.m_Headers.push_back({"Change-Id", Asked.m_ClientId});
  return Answer;
}

http::HttpResponse problem(const ChangeRequest &Asked, int Status,
                           const std::string &Code, const std::string &Detail) {
  return withChangeId(problemAnswer(ApiError(Status, Code, Detail)), Asked);
}

http::HttpResponse appliedAnswer(const ChangeRequest &Asked,
                                 std::uint64_t Revision) {
  const state::ResourceChange &Change = Asked.m_Change;
  nlohmann::json Body = {{"name", Change.m_Name}, {"deleted", true}};
  if (Change.m_Resource)
    Body = jsonOf(*Change.m_Resource);
  Body["kind"] = model::ResourceKindNames.nameOf(Change.m_Kind);
  Body["revision"] = Revision;
  if (!Asked.m_KeyText.empty())
    Body["key"] = Asked.m_KeyText;
  const bool IsCreated = Change.m_Resource && Asked.m_IsNew;
  http::HttpResponse Answer = jsonAnswer(IsCreated ? Created : StatusOk, Body);
  if (Change.m_Resource)
    Answer.m_Headers.push_back({"ETag", etagOf(Revision)});
  return withChangeId(std::move(Answer), Asked);
}

/// \returns whether the key that stands in \p State is the one made for
/// \p Asked, and not one that an earlier copy of the request made.
bool isOwnKey(const ChangeRequest &Asked, const state::Snapshot &State) {
  const auto &Mine = std::get<model::Key>(*Asked.m_Change.m_Resource);
  const model::Key *Found = State.findKey(Mine.m_Digest);
  return Found != nullptr && Found->m_Name == Mine.m_Name;
}

http::HttpResponse rejectedAnswer(const ChangeRequest &Asked,
                                  ChangeOutcome Outcome) {
  const std::string Code(state::ChangeOutcomeNames.nameOf(Outcome));
  switch (Outcome) {
  case ChangeOutcome::RevisionMismatch:
    return problem(Asked, PreconditionFailed, Code,
                   "another change of this resource came first");
  case ChangeOutcome::NotFound:
    return problem(Asked, NotFound, Code, "there is no such resource");
  case ChangeOutcome::UnknownCustomer:
    return problem(Asked, Conflict, Code, "the customer does not exist");
  case ChangeOutcome::CustomerInUse:
    return problem(Asked, Conflict, Code,
                   "the customer still has keys or a rate");
  case ChangeOutcome::DigestInUse:
    return problem(Asked, Conflict, Code, "another key has this digest");
  case ChangeOutcome::Applied:
    break;
  }
  return appliedAnswer(Asked, 0);
}

http::HttpResponse notMadeAnswer(const ChangeRequest &Asked,
                                 PlatformErrorKind Kind) {
  if (Kind == PlatformErrorKind::NoSpace)
    return problem(Asked, InsufficientStorage, "log-full",
                   "the platform's log has no space; nothing was appended");
  return problem(Asked, ServiceUnavailable, "log-unavailable",
                 "the platform's log is away; nothing was appended");
}

http::HttpResponse unknownAnswer(const ChangeRequest &Asked) {
  return problem(Asked, GatewayTimeout, "outcome-unknown",
                 "the change was not read back in time and may still come "
                 "into force; repeat it with the same Change-Id to learn");
}

} // namespace

PendingChanges::Id PendingChanges::add(Waiting Change) {
  absl::MutexLock Lock(&m_Mutex);
  m_Waiting.emplace(++m_Last, std::move(Change));
  return m_Last;
}

void PendingChanges::noteAppend(Id Which,
                                const platform::AppendOutcome &Outcome) {
  const auto &Failure = Outcome.m_Failure;
  if (!Failure || *Failure == PlatformErrorKind::OutcomeUnknown)
    return;
  if (auto Change = take(Which))
    Change->m_Reply(notMadeAnswer(Change->m_Asked, *Failure));
}

void PendingChanges::review(absl::Time Now) {
  std::vector<std::pair<Id, http::HttpResponse>> Due;
  {
    absl::MutexLock Lock(&m_Mutex);
    for (const auto &[Which, Change] : m_Waiting) {
      if (auto Answer = settledAnswer(Change.m_Asked))
        Due.emplace_back(Which, std::move(*Answer));
      else if (Change.m_Deadline <= Now)
        Due.emplace_back(Which, unknownAnswer(Change.m_Asked));
    }
  }
  for (auto &[Which, Answer] : Due)
    if (auto Change = take(Which))
      Change->m_Reply(std::move(Answer));
}

void PendingChanges::abandon() {
  std::map<Id, Waiting> Rest;
  {
    absl::MutexLock Lock(&m_Mutex);
    Rest.swap(m_Waiting);
  }
  for (const auto &[Which, Change] : Rest)
    Change.m_Reply(unknownAnswer(Change.m_Asked));
}

absl::Time PendingChanges::nextDeadline() {
  absl::MutexLock Lock(&m_Mutex);
  absl::Time Next = absl::InfiniteFuture();
  for (const auto &[Which, Change] : m_Waiting)
    Next = std::min(Next, Change.m_Deadline);
  return Next;
}

std::optional<http::HttpResponse>
PendingChanges::settledAnswer(const ChangeRequest &Asked) const {
  const auto Settled = m_Replica.outcomeOf(Asked.m_Change.m_ChangeId);
  if (!Settled)
    return std::nullopt;
  if (Settled->m_Outcome != ChangeOutcome::Applied)
    return rejectedAnswer(Asked, Settled->m_Outcome);
  if (!Asked.m_KeyText.empty() && !isOwnKey(Asked, *m_Replica.store().share()))
    return problem(Asked, Conflict, "key-made-before",
                   "an earlier copy of this request made the key, which is "
                   "shown once only; delete it and make another");
  return appliedAnswer(Asked, Settled->m_Offset + 1);
}

std::optional<PendingChanges::Waiting> PendingChanges::take(Id Which) {
  absl::MutexLock Lock(&m_Mutex);
  auto Found = m_Waiting.find(Which);
  if (Found == m_Waiting.end())
    return std::nullopt;
  Waiting Change = std::move(Found->second);
  m_Waiting.erase(Found);
  return Change;
}

} // namespace knapweedloft::app
