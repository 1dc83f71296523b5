#include "app/CallerHandler.h"

#include "app/AppError.h"
#include "app/Clock.h"
#include "app/Fingerprint.h"
#include "app/Problem.h"
#include "app/RequestHeaders.h"
#include "state/KeyText.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace knapweedloft::app {
namespace {

using model::RefusalReason;

constexpr std::string_view AnnouncePath = "/.well-known/knapweedloft/announce";

/// When to come back to a daemon whose state is stale: another may serve.
constexpr absl::Duration StaleRetryAfter = absl::Seconds(1);

std::string_view detailOf(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::BadKey:
    return "show a valid key as 'Authorization: Bearer KEY'";
  case RefusalReason::UnknownRoute:
    return "no route matches this method and path";
  case RefusalReason::OverRate:
    return "the customer is over its rate";
  case RefusalReason::RateUnavailable:
    return "no daemon grants the customer's rate at present";
  case RefusalReason::StateStale:
    return "this daemon cannot tell whether its state is fresh";
  case RefusalReason::Quarantined:
    return "this request was in flight when targets died";
  default:
    return "";
  }
}

EntryRequest toEntryRequest(const http::HttpExchange &Exchange,
                            absl::Time Now) {
  EntryRequest Request;
  // The exchange owns the request and lives as long as its answer is awaited.
  auto Shared = std::make_shared<http::HttpExchange>(Exchange);
  Request.m_Http = {Shared, &Shared->request()};
  Request.m_Answer = [Shared](http::HttpResponse Response) {
    Shared->answer(std::move(Response));
  };
  Request.m_WatchHangUp = [Shared](std::function<void()> Hook) {
    Shared->onHangUp(std::move(Hook));
  };
  Request.m_Received = Now;
  return Request;
}

} // namespace

CallerHandler::CallerHandler(Options Settings,
                             const state::SnapshotStore &Store)
    : m_Options(std::move(Settings)), m_Store(Store) {}

void CallerHandler::handle(http::HttpExchange Exchange, absl::Time Now) const {
  if (Exchange.request().m_Path == AnnouncePath) {
    announce(std::move(Exchange));
    return;
  }
  EntryRequest Request = toEntryRequest(Exchange, Now);
  RefusalReason Reason = inspect(Request, Exchange.isFromLoopback(), Now);
  if (Reason != RefusalReason::None) {
    refuse(Request, Reason,
           Reason == RefusalReason::StateStale ? StaleRetryAfter
                                               : absl::ZeroDuration());
    return;
  }
  // A call made by a target was counted when its request entered.
  if (!Request.m_HasKey || Request.m_Context) {
    m_Options.m_Hooks.m_Submit(std::move(Request));
    return;
  }
  acquire(std::move(Request), Now);
}

RefusalReason CallerHandler::inspect(EntryRequest &Request, bool IsFromLoopback,
                                     absl::Time Now) const {
  const http::HttpRequest &Http = *Request.m_Http;
  state::SnapshotStore::ReadGuard State(m_Store);
  const model::Route *Route = State->findRoute(Http.m_Method, Http.m_Path);
  // A daemon that has yet to learn the state does not know the routes.
  if (!Route)
    return m_Options.m_Hooks.m_IsStateFresh(Now) ? RefusalReason::UnknownRoute
                                                 : RefusalReason::StateStale;
  Request.m_Route = *Route;
  absl::Duration Timeout = std::min(Route->m_Timeout, m_Options.m_MaxTimeout);
  if (auto Asked = requestedTimeout(Http.m_Headers))
    Timeout = std::min(Timeout, *Asked);
  Request.m_Deadline = Now + Timeout;
  if (const std::string *Key =
          http::findHeader(Http.m_Headers, IdempotencyKeyHeader))
    Request.m_IdempotencyKey = *Key;
  RefusalReason Reason = identify(Request, IsFromLoopback, *State, Now);
  if (Reason != RefusalReason::None)
    return Reason;
  Request.m_Fingerprint = fingerprintOf(Request.m_Customer, Http.m_Method,
                                        Http.m_Path, Http.m_Body);
  const model::Quarantine *Aside = State->findQuarantine(Request.m_Fingerprint);
  if (Aside && wallNow() < Aside->m_Expires)
    return RefusalReason::Quarantined;
  return RefusalReason::None;
}

RefusalReason CallerHandler::identify(EntryRequest &Request,
                                      bool IsFromLoopback,
                                      const state::Snapshot &State,
                                      absl::Time Now) const {
  const http::HttpRequest &Http = *Request.m_Http;
  const std::string *Context =
      IsFromLoopback ? http::findHeader(Http.m_Headers, ContextHeader)
                     : nullptr;
  if (Context) {
    Request.m_Context = contextFromText(*Context);
    return Request.m_Context ? RefusalReason::None : RefusalReason::BadKey;
  }
  auto Key = bearerKey(Http.m_Headers);
  if (!Key)
    return Request.m_Route.m_IsOpen ? RefusalReason::None
                                    : RefusalReason::BadKey;
  if (!m_Options.m_Hooks.m_IsStateFresh(Now))
    return RefusalReason::StateStale;
  Request.m_Digest = state::digestOf(*Key);
  const model::Key *Found = State.findKey(Request.m_Digest);
  if (!Found)
    return Request.m_Route.m_IsOpen ? RefusalReason::None
                                    : RefusalReason::BadKey;
  Request.m_HasKey = true;
  Request.m_Customer = Found->m_Customer;
  return RefusalReason::None;
}

void CallerHandler::acquire(EntryRequest Request, absl::Time Now) const {
  absl::Duration MaxWait =
      std::min(m_Options.m_MaxTokenWait, Request.m_Deadline - Now);
  std::string Customer = Request.m_Customer;
  auto Shared = std::make_shared<EntryRequest>(std::move(Request));
  m_Options.m_Hooks.m_Acquire(
      Customer, Now, MaxWait, [this, Shared](const RateDecision &Decision) {
        if (!Decision.m_IsGranted) {
          refuse(*Shared,
                 Decision.m_IsKeeperAway ? RefusalReason::RateUnavailable
                                         : RefusalReason::OverRate,
                 Decision.m_RetryAfter);
          return;
        }
        Shared->m_GrantEpoch = Decision.m_Epoch;
        Shared->m_GrantExpires = Decision.m_Expires;
        m_Options.m_Hooks.m_Submit(std::move(*Shared));
      });
}

void CallerHandler::refuse(EntryRequest &Request, RefusalReason Reason,
                           absl::Duration RetryAfter) const {
  m_Options.m_Hooks.m_OnRefusal(Reason, Request.m_Route.m_Name,
                                Request.m_Customer);
  Request.m_Answer(toResponse({.m_Reason = Reason,
                               .m_Ran = model::Ran::No,
                               .m_RetryAfter = RetryAfter,
                               .m_Detail = std::string(detailOf(Reason))}));
}

void CallerHandler::announce(http::HttpExchange Exchange) const {
  const http::HttpRequest &Http = Exchange.request();
  if (!Exchange.isFromLoopback()) {
    Exchange.answer(toResponse({.m_Reason = RefusalReason::UnknownRoute}));
    return;
  }
  try {
    m_Options.m_Hooks.m_Announce(announcementFromJson(Http.m_Body));
    Exchange.answer({.m_Status = 204});
  } catch (const AppError &Error) {
    Exchange.answer(toResponse(
        {.m_Reason = RefusalReason::BadRequest, .m_Detail = Error.what()}));
  }
}

} // namespace knapweedloft::app
