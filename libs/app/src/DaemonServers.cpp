#include "DaemonImpl.h"

#include "app/Clock.h"
#include "app/Log.h"

#include <memory>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr Log CallerLog{"caller"};
constexpr Log ApiLog{"api"};

} // namespace

void Daemon::Impl::makeServers() {
  CallerHandler::Options Caller;
  Caller.m_Hooks.m_Acquire =
      [this](const std::string &Customer, absl::Time Now,
             absl::Duration MaxWait,
             std::function<void(const RateDecision &)> OnDone) {
        m_Rates->acquire(Customer, Now, MaxWait, std::move(OnDone));
      };
  Caller.m_Hooks.m_Submit = [this](EntryRequest Request) {
    auto Shared = std::make_shared<EntryRequest>(std::move(Request));
    post([this, Shared] {
      m_Entry->submit(std::move(*Shared), monotonicNow());
    });
  };
  Caller.m_Hooks.m_Announce = [this](Announcement News) {
    post([this, News = std::move(News)] { onAnnouncement(News); });
  };
  Caller.m_Hooks.m_IsStateFresh = [this](absl::Time Now) {
    return m_Spread->isTrusted(Now);
  };
  Caller.m_Hooks.m_OnRefusal = [this](model::RefusalReason Reason,
                                      const std::string &Route,
                                      const std::string &Customer) {
    m_Metrics.record({.m_Route = Route,
                      .m_Customer = Customer,
                      .m_Reason = Reason,
                      .m_Status = model::httpStatusOf(Reason)},
                     monotonicNow());
  };
  m_Caller = std::make_unique<CallerHandler>(Caller, m_Replica.store());
  m_CallerServer = std::make_unique<http::HttpServer>(http::HttpServer::Options{
      .m_Address = m_Settings.m_Caller.m_Address,
      .m_Port = m_Settings.m_Caller.m_Port,
      .m_Threads = m_Settings.m_Caller.m_Threads,
      .m_MaxBodyBytes = m_Settings.m_Caller.m_MaxBodyBytes,
      .m_MaxHeaderBytes = m_Settings.m_Caller.m_MaxHeaderBytes,
      .m_MaxConnections = m_Settings.m_Caller.m_MaxConnections,
      .m_IdleTimeout = m_Settings.m_Caller.m_IdleTimeout,
      .m_ThreadName = "caller",
      .m_OnRequest = [this](http::HttpExchange Exchange) {
        m_Caller->handle(std::move(Exchange), monotonicNow());
      }});
  CallerLog.info("Serving callers.",
                 {{"address", m_Settings.m_Caller.m_Address},
                  {"port", m_CallerServer->port()}});
  m_ApiServer = std::make_unique<http::HttpServer>(http::HttpServer::Options{
      .m_Address = m_Settings.m_Api.m_Address,
      .m_Port = m_Settings.m_Api.m_Port,
      .m_Threads = 1,
      .m_ThreadName = "api",
      .m_OnRequest = [this](http::HttpExchange Exchange) {
        handleApi(std::move(Exchange));
      }});
  ApiLog.info("Serving operators.", {{"address", m_Settings.m_Api.m_Address},
                                     {"port", m_ApiServer->port()}});
}

} // namespace knapweedloft::app
