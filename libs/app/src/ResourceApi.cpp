#include "app/ResourceApi.h"

#include "ApiAnswers.h"
#include "ApiRequest.h"
#include "AppliedStatus.h"
#include "ChangeRequest.h"
#include "PendingChanges.h"
#include "Watchers.h"
#include "app/ApiAccess.h"
#include "app/ResourceJson.h"
#include "platform/Appender.h"
#include "platform/NamedThread.h"
#include "state/KeyText.h"
#include "state/RecordCodec.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr int StatusOk = 200;
constexpr int NotModified = 304;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr std::size_t ChangeIdDigits = 32;

std::string makeChangeId() {
  return state::makeKeyText().substr(state::KeyPrefix.size(), ChangeIdDigits);
}

[[noreturn]] void failNotFound() {
  throw ApiError(NotFound, "not-found", "there is no such resource");
}

[[noreturn]] void failMethod() {
  throw ApiError(MethodNotAllowed, "method-not-allowed",
                 "this path does not take this method");
}

} // namespace

class ResourceApi::Impl {
public:
  explicit Impl(Options Settings)
      : m_Settings(std::move(Settings)), m_Access(m_Settings.m_Token),
        m_Replica(*m_Settings.m_Replica), m_Pending(m_Replica),
        m_Watchers(m_Replica, m_Settings.m_MaxWatchers),
        m_Appender(appenderOptions(m_Settings)),
        m_Thread("api-wait", [this] { run(); }) {}

  ~Impl() {
    {
      absl::MutexLock Lock(&m_Mutex);
      m_IsStopping = true;
    }
    m_Thread.join();
    m_Pending.abandon();
    m_Watchers.abandon();
  }

  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void handle(const http::HttpRequest &Request, bool IsFromLoopback,
              const Reply &Answer) {
    if (auto Refusal = m_Access.refusalOf(Request, IsFromLoopback))
      return Answer(std::move(*Refusal));
    try {
      route(parseApiRequest(Request), Answer);
    } catch (const ApiError &Error) {
      Answer(problemAnswer(Error));
    }
  }

  [[nodiscard]] state::StateReplica &replica() { return m_Replica; }

  /// Lets the waiting thread look at what has changed.
  void wake() {
    absl::MutexLock Lock(&m_Mutex);
    m_IsWoken = true;
  }

private:
  static platform::Appender::Options appenderOptions(const Options &Settings) {
    return {.m_Log = Settings.m_Log,
            .m_Stream = Settings.m_Stream,
            .m_Now = Settings.m_Now,
            .m_Random = Settings.m_Random,
            .m_Threads = Settings.m_AppendThreads,
            .m_MaxQueued = Settings.m_MaxQueuedAppends,
            .m_ThreadName = "api-append"};
  }

  void route(const ApiRequest &Request, const Reply &Answer) {
    const auto &Segments = Request.m_Segments;
    const bool IsGet = Request.m_Method == "GET";
    if (Segments.size() == 1 && Segments[0] == "watch")
      return IsGet ? watch(Request, Answer) : failMethod();
    if (Segments.size() == 1 && Segments[0] == "status")
      return IsGet ? Answer(statusAt(Request)) : failMethod();
    const model::ResourceKind Kind = Request.kind();
    if (Segments.size() == 1)
      return handleKind(Request, Kind, Answer);
    if (Segments.size() == 3 && Segments[2] == "status")
      return IsGet ? Answer(statusOf(Kind, Segments[1])) : failMethod();
    if (Segments.size() != 2)
      failNotFound();
    if (IsGet)
      return Answer(get(Request, Kind));
    if (Request.m_Method != "PUT" && Request.m_Method != "DELETE")
      failMethod();
    change(Request, Answer);
  }

  void handleKind(const ApiRequest &Request, model::ResourceKind Kind,
                  const Reply &Answer) {
    if (Request.m_Method == "GET")
      return Answer(list(Kind));
    if (Request.m_Method == "POST" && Kind == model::ResourceKind::Key)
      return change(Request, Answer);
    failMethod();
  }

  http::HttpResponse list(model::ResourceKind Kind) const {
    const state::SnapshotPtr State = m_Replica.store().share();
    nlohmann::json Items = nlohmann::json::array();
    for (const state::HeldResource *Each : State->list(Kind))
      Items.push_back(jsonOf(*Each));
    return jsonAnswer(
        StatusOk, {{"items", std::move(Items)}, {"offset", State->offset()}});
  }

  http::HttpResponse get(const ApiRequest &Request,
                         model::ResourceKind Kind) const {
    const state::SnapshotPtr State = m_Replica.store().share();
    const auto *Held = State->find(Kind, Request.m_Segments[1]);
    if (Held == nullptr)
      failNotFound();
    const std::string Etag = etagOf(Held->m_Revision);
    http::HttpResponse Answer =
        Request.header("If-None-Match") == Etag
            ? http::HttpResponse{.m_Status = NotModified}
            : jsonAnswer(StatusOk, jsonOf(*Held));
    Answer.m_Headers.push_back({"ETag", Etag});
    return Answer;
  }

  http::HttpResponse statusOf(model::ResourceKind Kind,
                              const std::string &Name) const {
    const state::SnapshotPtr State = m_Replica.store().share();
    const auto *Held = State->find(Kind, Name);
    if (Held == nullptr)
      failNotFound();
    return jsonAnswer(StatusOk, appliedStatus(Held->m_Revision, *State,
                                              m_Settings.m_Applied()));
  }

  /// For what is deleted: the status of any revision.
  http::HttpResponse statusAt(const ApiRequest &Request) const {
    const state::SnapshotPtr State = m_Replica.store().share();
    const auto Revision = Request.queryNumber("revision", State->offset());
    return jsonAnswer(StatusOk,
                      appliedStatus(Revision, *State, m_Settings.m_Applied()));
  }

  void watch(const ApiRequest &Request, const Reply &Answer) {
    constexpr std::uint64_t DefaultWaitMs = 30000;
    Watchers::Watcher Who{.m_Reply = Answer};
    Who.m_From = Request.queryNumber("from", m_Replica.offset());
    auto Kind = Request.m_Query.find("kind");
    if (Kind != Request.m_Query.end()) {
      Who.m_Kind = model::ResourceKindNames.valueOf(Kind->second);
      if (!Who.m_Kind)
        failNotFound();
    }
    const auto WaitMs = std::min<std::uint64_t>(
        Request.queryNumber("wait_ms", DefaultWaitMs),
        absl::ToInt64Milliseconds(m_Settings.m_MaxWatchWait));
    Who.m_Deadline = m_Settings.m_Now() +
                     absl::Milliseconds(static_cast<std::int64_t>(WaitMs));
    m_Watchers.add(std::move(Who));
    wake();
  }

  void change(const ApiRequest &Request, const Reply &Answer) {
    ChangeRequest Asked =
        changeRequestOf(Request, *m_Replica.store().share(), makeChangeId);
    if (auto Settled = m_Pending.settledAnswer(Asked))
      return Answer(std::move(*Settled));
    const absl::Time Now = m_Settings.m_Now();
    std::string ChangeId = Asked.m_Change.m_ChangeId;
    std::string Payload = state::encodeRecord(
        {.m_Written = m_Settings.m_WallNow(), .m_Entry = Asked.m_Change});
    const auto Which =
        m_Pending.add({.m_Asked = std::move(Asked),
                       .m_Deadline = Now + m_Settings.m_AnswerDeadline,
                       .m_Reply = Answer});
    const bool IsQueued = m_Appender.append(
        {.m_Payload = std::move(Payload),
         .m_Deadline = Now + m_Settings.m_AppendDeadline,
         .m_OnDone =
             [this, Which](const platform::AppendOutcome &Outcome) {
               m_Pending.noteAppend(Which, Outcome);
               wake();
             },
         .m_IsSettled =
             [this, ChangeId = std::move(ChangeId)] {
               return m_Replica.outcomeOf(ChangeId).has_value();
             }});
    if (!IsQueued)
      m_Pending.noteAppend(
          Which, {.m_Failure = platform::PlatformErrorKind::Unavailable});
    wake(); // The new deadline may be the next one.
  }

  void run() {
    while (awaitWork()) {
      const absl::Time Now = m_Settings.m_Now();
      m_Pending.review(Now);
      m_Watchers.review(Now);
    }
  }

  /// Waits for news or a deadline. \returns false when the API stops.
  bool awaitWork() {
    const absl::Time Next =
        std::min(m_Pending.nextDeadline(), m_Watchers.nextDeadline());
    const absl::Duration Rest = Next - m_Settings.m_Now();
    absl::MutexLock Lock(&m_Mutex);
    auto HasWork = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
      return m_IsWoken || m_IsStopping;
    };
    m_Mutex.AwaitWithTimeout(absl::Condition(&HasWork), Rest);
    m_IsWoken = false;
    return !m_IsStopping;
  }

  const Options m_Settings;
  const ApiAccess m_Access;
  state::StateReplica &m_Replica;
  PendingChanges m_Pending;
  Watchers m_Watchers;
  absl::Mutex m_Mutex;
  bool m_IsWoken ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
  platform::Appender m_Appender; ///< Ends before what its jobs call.
  platform::NamedThread m_Thread;
};

ResourceApi::ResourceApi(Options Settings)
    : m_Impl(std::make_shared<Impl>(std::move(Settings))) {
  // The replica outlives the API and keeps its hooks.
  m_Impl->replica().onAdvance(
      [Weak = std::weak_ptr<Impl>(m_Impl)](model::LogOffset) {
        if (const std::shared_ptr<Impl> Alive = Weak.lock())
          Alive->wake();
      });
}

ResourceApi::~ResourceApi() = default;

void ResourceApi::handle(http::HttpExchange Exchange) {
  m_Impl->handle(Exchange.request(), Exchange.isFromLoopback(),
                 [Exchange](http::HttpResponse Answer) mutable {
                   Exchange.answer(std::move(Answer));
                 });
}

void ResourceApi::handle(const http::HttpRequest &Request, bool IsFromLoopback,
                         const Reply &Answer) {
  m_Impl->handle(Request, IsFromLoopback, Answer);
}

} // namespace knapweedloft::app
