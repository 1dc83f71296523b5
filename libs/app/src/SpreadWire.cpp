#include "SpreadWire.h"

#include <algorithm>

namespace knapweedloft::app {
namespace {

constexpr absl::Duration HopAllowance = absl::Milliseconds(50);

/// Ages are capped, so that a stamp that was never read can be sent.
constexpr absl::Duration OldestAge = absl::Hours(24 * 365);

std::uint64_t ageOf(absl::Time At, absl::Time Now) {
  absl::Duration Age = std::clamp(Now - At, absl::ZeroDuration(), OldestAge);
  return static_cast<std::uint64_t>(absl::ToInt64Microseconds(Age));
}

absl::Duration durationOf(std::uint64_t Microseconds) {
  return std::min(absl::Microseconds(Microseconds), OldestAge);
}

} // namespace

link::wire::Stamp toWire(const policy::LogStamp &Stamp, absl::Time Now) {
  return {Stamp.m_End, ageOf(Stamp.m_At, Now), Stamp.m_IsUnavailable,
          Stamp.m_IsUnavailable ? ageOf(Stamp.m_UnavailableSince, Now) : 0,
          Stamp.m_IsPartitioned};
}

policy::LogStamp fromWire(const link::wire::Stamp &Stamp, absl::Duration Delay,
                          absl::Time Now) {
  policy::LogStamp Made;
  Made.m_End = Stamp.end_offset();
  Made.m_At = Now - durationOf(Stamp.read_age_us()) - Delay - HopAllowance;
  Made.m_IsUnavailable = Stamp.is_away();
  Made.m_IsPartitioned = Stamp.is_split();
  if (Made.m_IsUnavailable)
    Made.m_UnavailableSince = Now - durationOf(Stamp.away_us()) - Delay;
  return Made;
}

std::vector<state::StoredRecord> fromWire(const link::wire::RecordsT &Records) {
  std::vector<state::StoredRecord> Made;
  Made.reserve(Records.records.size());
  for (const auto &One : Records.records)
    Made.push_back(
        {.m_Offset = One->offset,
         .m_Payload = std::string(One->payload.begin(), One->payload.end())});
  return Made;
}

} // namespace knapweedloft::app
