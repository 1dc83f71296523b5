#include "DaemonImpl.h"

#include "app/Clock.h"

#include "absl/time/clock.h"

namespace knapweedloft::app {
namespace {

/// Time for callers and peers to learn of the stop while everything is served.
constexpr absl::Duration NoticeTime = absl::Milliseconds(500);
constexpr absl::Duration PollInterval = absl::Milliseconds(20);
/// Time to send the answers of what is left at the limit.
constexpr absl::Duration AnswerTime = absl::Milliseconds(300);

} // namespace

Daemon::Daemon(const Settings &From) : m_Impl(std::make_unique<Impl>(From)) {}

Daemon::~Daemon() = default;

std::size_t Daemon::stop() { return m_Impl->stop(); }

model::Endpoint Daemon::linkEndpoint() const { return m_Impl->linkEndpoint(); }

std::uint16_t Daemon::apiPort() const { return m_Impl->apiPort(); }

Daemon::Impl::~Impl() {
  // The link thread first, since it uses the others; what they post to it from
  // then on is dropped.
  m_Links->stop();
  m_ApiServer.reset();
  m_Api.reset();
  m_CallerServer.reset();
  m_Follower.reset();
  m_Images.reset();
  m_ImageAppender.reset();
  m_Appender.reset();
  m_Client.reset();
  m_Links.reset();
}

std::size_t Daemon::Impl::stop() {
  m_IsStopping = true;
  // From here on answers tell callers to reconnect, to another daemon.
  m_CallerServer->quiesce();
  post([this] {
    m_Rates->stopKeeping();
    m_Members->leave();
  });
  absl::SleepFor(NoticeTime);
  absl::Time Limit = monotonicNow() + m_Settings.m_Target.m_DrainLimit;
  post([this, Limit] {
    m_Entry->stopBy(Limit);
    m_Target->stopIntake();
    m_Target->dedupe().handOn();
  });
  absl::SleepFor(PollInterval * 5);
  while (m_InFlight > 0 && monotonicNow() < Limit)
    absl::SleepFor(PollInterval);
  while (m_CallerServer->pending() > 0 && monotonicNow() < Limit)
    absl::SleepFor(PollInterval);
  std::size_t Left = m_InFlight;
  post([this] { m_Entry->endAll(monotonicNow()); });
  Limit = monotonicNow() + AnswerTime;
  while (m_CallerServer->pending() > 0 && monotonicNow() < Limit)
    absl::SleepFor(PollInterval);
  return Left;
}

} // namespace knapweedloft::app
