#include "mesh/ConnectionLog.h"

namespace knapweedloft::mesh {
namespace {

constexpr absl::Duration LogInterval = absl::Seconds(1);
/// Fewer opened connections than this are not logged.
constexpr std::uint64_t MinLogged = 10;

} // namespace

void ConnectionLog::tick(const http::ConnectionCounts &Counts, absl::Time Now) {
  if (Now < m_Next || Counts.opened() < m_Logged.opened() + MinLogged)
    return;
  m_Next = Now + LogInterval;
  auto Opened = [&](http::ConnectionNeed Need) {
    auto Index = static_cast<std::size_t>(Need);
    return Counts.m_Opened[Index] - m_Logged.m_Opened[Index];
  };
  auto Closed = [&](http::ConnectionEnd End) {
    auto Index = static_cast<std::size_t>(End);
    return Counts.m_Closed[Index] - m_Logged.m_Closed[Index];
  };
  using Need = http::ConnectionNeed;
  using End = http::ConnectionEnd;
  m_Log.state("Connections to the target were opened.",
              {{"none_idle", Opened(Need::NoneIdle)},
               {"idle_too_long", Opened(Need::IdleTooLong)},
               {"closed_server_said", Closed(End::ServerSaid)},
               {"closed_server", Closed(End::ServerClosed)},
               {"closed_expired", Closed(End::Expired)},
               {"closed_surplus", Closed(End::Surplus)},
               {"closed_replaced", Closed(End::Replaced)},
               {"closed_cancelled", Closed(End::Cancelled)},
               {"closed_timed_out", Closed(End::TimedOut)},
               {"closed_broken", Closed(End::Broken)},
               {"closed_unasked", Closed(End::Unasked)}});
  m_Logged = Counts;
}

} // namespace knapweedloft::mesh
