// The part of TargetPath that takes what the target says of itself in its
// answers: the rate that it takes, and that it leaves.
#include "mesh/TargetPath.h"

#include "http/MessageText.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace knapweedloft::mesh {
namespace {

/// Requests a second. A target without any request could not say that it takes
/// more again.
constexpr double MinRateLimit = 0.1;
/// Requests a second. More than any target takes: the same as no limit.
constexpr double MaxRateLimit = 100'000;
/// Of an unreadable value, in a log line.
constexpr std::size_t MaxLoggedText = 32;

/// \returns a decimal number that is not negative.
std::optional<double> parseRate(std::string_view Text) {
  double Value = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size() ||
      !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

} // namespace

void TargetPath::applyNamedLimit(const http::HttpResponse &Response,
                                 const PendingRequest &Done, absl::Time Now) {
  if (Done.m_Instance != m_State.instance())
    return;
  m_HasAnswered = true;
  const std::string *Text =
      http::findHeader(Response.m_Headers, m_Options.m_HeaderNames.m_RateLimit);
  if (!Text) {
    // An answer to a request from before the limit may have been overtaken.
    if (m_RateLimit.m_PerSecond > 0 && Done.m_Started >= m_RateLimit.m_At)
      setRateLimit(0, "target", Now, Now);
    return;
  }
  std::optional<double> Named = parseRate(*Text);
  if (!Named) {
    if (*Text != m_UnreadableLimit)
      m_Log.state("Ignored a rate limit that the target named: not a number of "
                  "at least 0.",
                  {{"instance", m_State.instance()},
                   {"text", Text->substr(0, MaxLoggedText)},
                   {"kept", m_RateLimit.m_PerSecond}});
    m_UnreadableLimit = *Text;
    return;
  }
  double PerSecond = *Named > MaxRateLimit ? 0 : std::max(*Named, MinRateLimit);
  setRateLimit(PerSecond, "target", Now, Now);
}

void TargetPath::applyNamedLeave(const http::HttpResponse &Response,
                                 const std::string &Instance, absl::Time Now) {
  const std::string *Text =
      http::findHeader(Response.m_Headers, m_Options.m_HeaderNames.m_Leaving);
  if (!Text || *Text != "1" || Instance != m_State.instance())
    return;
  onNamedLeave(Now);
}

void TargetPath::onNamedLeave(absl::Time Now) {
  m_State.onLeaving(m_Options.m_Hooks.m_UnixNow ? m_Options.m_Hooks.m_UnixNow()
                                                : absl::InfiniteFuture());
  applyStateChange(Now);
}

void TargetPath::adoptNotice(const wire::ForwardT &Message, absl::Time Now) {
  const wire::TargetNoticeT *Notice = Message.notice.get();
  if (!Notice || Notice->instance != m_State.instance() ||
      (Notice->start_time_ms != 0 && m_State.startTimeMs() != 0 &&
       Notice->start_time_ms != m_State.startTimeMs()))
    return;
  absl::Time At =
      Now - absl::Microseconds(static_cast<std::int64_t>(Notice->age_us));
  // What the target said to this process is newer than what peers remember.
  if (!m_HasAnswered && At > m_RateLimit.m_At &&
      std::isfinite(Notice->rate_limit))
    setRateLimit(std::clamp(Notice->rate_limit, 0.0, MaxRateLimit), "peer", At,
                 Now);
  if (Notice->is_leaving)
    onNamedLeave(Now);
}

void TargetPath::setRateLimit(double PerSecond, const char *Source,
                              absl::Time At, absl::Time Now) {
  double Former = m_RateLimit.m_PerSecond;
  m_RateLimit = {PerSecond, At, Source};
  if (PerSecond == Former)
    return;
  m_Log.state(PerSecond > 0 ? "The target's rate limit changed."
                            : "The target's rate limit ended.",
              {{"instance", m_State.instance()},
               {"per_second", PerSecond},
               {"former", Former},
               {"source", Source},
               {"age", Now - At}});
  m_Scheduler.setRateLimit(PerSecond, Now);
}

void TargetPath::forgetRateLimit(absl::Time Now) {
  m_HasAnswered = false;
  m_UnreadableLimit.clear();
  setRateLimit(0, "new instance", Now, Now);
  m_RateLimit.m_At = absl::InfinitePast();
}

std::unique_ptr<wire::TargetNoticeT> TargetPath::notice() const {
  bool IsLeaving = m_State.isLeaving();
  bool IsLimited = m_HasAnswered && m_RateLimit.m_PerSecond > 0;
  if (!IsLeaving && !IsLimited)
    return nullptr;
  auto Message = std::make_unique<wire::TargetNoticeT>();
  Message->instance = m_State.instance();
  Message->start_time_ms = m_State.startTimeMs();
  Message->rate_limit = m_RateLimit.m_PerSecond;
  Message->is_leaving = IsLeaving;
  return Message;
}

} // namespace knapweedloft::mesh
