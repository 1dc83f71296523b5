#include "mesh/CallerConnectionLog.h"

namespace knapweedloft::mesh {
namespace {

constexpr absl::Duration LogInterval = absl::Seconds(1);

} // namespace

void CallerConnectionLog::tick(const http::CallerConnectionCounts &Counts,
                               absl::Time Now) {
  if (Now < m_Next || Counts.cut() == m_Logged.cut())
    return;
  m_Next = Now + LogInterval;
  auto Unanswered = [&](http::CallerConnectionEnd Why) {
    auto Index = static_cast<std::size_t>(Why);
    return Counts.m_Unanswered[Index] - m_Logged.m_Unanswered[Index];
  };
  using End = http::CallerConnectionEnd;
  m_Log.state("Connections were closed with requests under way.",
              {{"requests", Counts.cut() - m_Logged.cut()},
               {"last_answer", Unanswered(End::LastAnswer)},
               {"refused", Unanswered(End::Refused)},
               {"idle", Unanswered(End::Idle)},
               {"request_timeout", Unanswered(End::RequestTimeout)},
               {"write_timeout", Unanswered(End::WriteTimeout)},
               {"memory", Unanswered(End::Memory)},
               {"stopped", Unanswered(End::Stopped)}});
  m_Logged = Counts;
}

} // namespace knapweedloft::mesh
