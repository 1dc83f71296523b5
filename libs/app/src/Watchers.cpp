#include "Watchers.h"

#include "ApiAnswers.h"
#include "app/ResourceJson.h"
#include "state/RecordCodec.h"
#include "state/StateError.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int Gone = 410;
constexpr int ServiceUnavailable = 503;
constexpr std::size_t MaxRecordsAnswered = 1024;

/// \returns the change in \p Record if it was applied there, or nothing.
std::optional<Json> eventOf(const state::StateReplica &Replica,
                            const state::StoredRecord &Record,
                            std::optional<model::ResourceKind> Kind) {
  try {
    const state::Record Decoded = state::decodeRecord(Record.m_Payload);
    const auto *Change = std::get_if<state::ResourceChange>(&Decoded.m_Entry);
    if (Change == nullptr || (Kind && *Kind != Change->m_Kind))
      return std::nullopt;
    const auto Settled = Replica.outcomeOf(Change->m_ChangeId);
    const bool IsApplied = Settled && Settled->m_Offset == Record.m_Offset &&
                           Settled->m_Outcome == state::ChangeOutcome::Applied;
    if (!IsApplied)
      return std::nullopt;
    Json Event = {{"kind", model::ResourceKindNames.nameOf(Change->m_Kind)},
                  {"name", Change->m_Name},
                  {"revision", Record.m_Offset + 1},
                  {"deleted", !Change->m_Resource.has_value()}};
    if (Change->m_Resource)
      Event["resource"] = jsonOf(*Change->m_Resource);
    return Event;
  } catch (const state::StateError &) {
    return std::nullopt; // Garbage changes nothing.
  }
}

} // namespace

void Watchers::add(Watcher Who) {
  if (auto Answer = answerFor(Who, false)) {
    Who.m_Reply(std::move(*Answer));
    return;
  }
  absl::MutexLock Lock(&m_Mutex);
  if (m_Watchers.size() >= m_MaxWatchers)
    throw ApiError(ServiceUnavailable, "too-many-watchers",
                   "this daemon serves as many watchers as it may");
  m_Watchers.push_back(std::move(Who));
}

void Watchers::review(absl::Time Now) {
  std::vector<std::pair<Watcher, http::HttpResponse>> Due;
  {
    absl::MutexLock Lock(&m_Mutex);
    std::vector<Watcher> Rest;
    for (Watcher &Each : m_Watchers) {
      if (auto Answer = answerFor(Each, Each.m_Deadline <= Now))
        Due.emplace_back(std::move(Each), std::move(*Answer));
      else
        Rest.push_back(std::move(Each));
    }
    m_Watchers = std::move(Rest);
  }
  for (auto &[Who, Answer] : Due)
    Who.m_Reply(std::move(Answer));
}

absl::Time Watchers::nextDeadline() {
  absl::MutexLock Lock(&m_Mutex);
  absl::Time Next = absl::InfiniteFuture();
  for (const Watcher &Each : m_Watchers)
    Next = std::min(Next, Each.m_Deadline);
  return Next;
}

std::optional<http::HttpResponse> Watchers::answerFor(Watcher &Who,
                                                      bool IsDue) const {
  Json Events = Json::array();
  while (Events.empty()) {
    const auto Records = m_Replica.recordsFrom(Who.m_From, MaxRecordsAnswered);
    if (!Records)
      return problemAnswer(
          ApiError(Gone, "revision-expired",
                   "the changes from there on are no longer known here; list "
                   "the resources and watch from the offset of the list"));
    if (Records->empty())
      break;
    for (const state::StoredRecord &Each : *Records) {
      if (auto Event = eventOf(m_Replica, Each, Who.m_Kind))
        Events.push_back(std::move(*Event));
      Who.m_From = Each.m_Offset + 1;
    }
  }
  if (Events.empty() && !IsDue)
    return std::nullopt;
  return jsonAnswer(StatusOk,
                    {{"events", std::move(Events)}, {"next", Who.m_From}});
}

} // namespace knapweedloft::app
