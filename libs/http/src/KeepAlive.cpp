#include "KeepAlive.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::http {
namespace {

/// Idle connections are given up this long before the server closes them.
constexpr absl::Duration IdleMargin = absl::Seconds(1);
/// Kept so long after each answer whatever the server states: a server that
/// gets the next request within this time would otherwise have to accept a
/// connection for each.
constexpr absl::Duration MinIdleTime = absl::Milliseconds(100);

/// \returns the time that the server keeps the connection open while idle.
std::optional<absl::Duration> keepAliveOf(const HttpResponse &Response) {
  const std::string *Value = findHeader(Response.m_Headers, "Keep-Alive");
  if (Value == nullptr)
    return std::nullopt;
  constexpr std::string_view Field = "timeout=";
  std::size_t At = Value->find(Field);
  if (At == std::string::npos)
    return std::nullopt;
  int Seconds = 0;
  const char *From = Value->data() + At + Field.size();
  auto Read = std::from_chars(From, Value->data() + Value->size(), Seconds);
  if (Read.ec != std::errc())
    return std::nullopt;
  return absl::Seconds(Seconds);
}

} // namespace

absl::Duration idleTimeAfter(const HttpResponse &Last, absl::Duration Longest) {
  auto Stated = keepAliveOf(Last);
  if (!Stated)
    return Longest;
  return std::min(Longest, std::max(*Stated - IdleMargin, MinIdleTime));
}

} // namespace knapweedloft::http
