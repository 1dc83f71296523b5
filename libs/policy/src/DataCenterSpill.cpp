#include "policy/DataCenterSpill.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <numeric>

namespace knapweedloft::policy {
namespace {

constexpr double BytesPerMegabyte = 1e6;
/// Seconds. A longer wait is no reason to change the share faster: the reports
/// may be of a moment.
constexpr double MaxGain = 0.4;
/// Change of the share for each second of gain. The wait itself changes by
/// about a second a second for a share of 1, and the delay of the loop is up to
/// 0.4 s: reports come with each answer and heartbeat, thus are 0.25 s old in
/// the mean at most. That is a phase margin above 30 degrees at one and a half
/// times the demand that fits. The same for all entry sides, or their shares
/// would drift apart.
constexpr double SharePerGain = 1.25;
/// The same for each second of gain and second of time.
constexpr double SteadySharePerGain = 0.4;
/// Fullness of the own targets below which requests come back without waiting
/// for the gain to tell.
constexpr double ReturnFullness = 0.95;
/// Besides the run time, how far the fullness lags behind the share.
constexpr absl::Duration FullnessLag = absl::Milliseconds(400);
/// Largest change of the share per second.
constexpr double MaxChangePerSecond = 2;
/// Updates further apart than this count as this far: what was in between is
/// unknown.
constexpr absl::Duration MaxStep = absl::Milliseconds(200);
/// A data center without a free slot counts as if this share of its slots were
/// free, so that the division changes little while the last ones fill.
constexpr double MinFreeShare = 0.05;
/// A request of more than this many times the mean bytes is weighed by itself.
constexpr double HeavyFactor = 2;
/// A share below this is a difference between reports, not a lack of room.
constexpr double MinShare = 0.01;

/// \returns the wait of a request that is sent there now, in seconds; negative
/// where slots are free: the time in which they would fill.
double signedWait(const DataCenterRoom &Room) {
  double Fullness = Room.m_Requests / Room.m_Slots;
  return absl::ToDoubleSeconds(Room.m_RunTime) * (Fullness - 1);
}

double freeRate(const DataCenterRoom &Room) {
  double Free =
      std::max(Room.m_Slots - Room.m_Requests, MinFreeShare * Room.m_Slots);
  return Free / std::max(absl::ToDoubleSeconds(Room.m_RunTime), 1e-3);
}

} // namespace

double DataCenterSpill::priceOf(double Bytes) const {
  return Bytes / BytesPerMegabyte *
         absl::ToDoubleSeconds(m_Settings.m_WaitPerMegabyte);
}

std::vector<double>
DataCenterSpill::divide(const std::vector<DataCenterRoom> &Others) const {
  std::vector<double> Parts;
  Parts.reserve(Others.size());
  for (const DataCenterRoom &Room : Others)
    Parts.push_back(Room.m_Slots > 0 ? freeRate(Room) : 0);
  double Sum = std::accumulate(Parts.begin(), Parts.end(), 0.0);
  for (double &Part : Parts)
    Part = Sum > 0 ? Part / Sum : 0;
  return Parts;
}

double DataCenterSpill::gainOf(const DataCenterRoom &Home,
                               const std::vector<DataCenterRoom> &Others,
                               double MeanBytes) const {
  double Away = 0;
  for (std::size_t Index = 0; Index < Others.size(); ++Index) {
    const DataCenterRoom &Room = Others[Index];
    if (m_Parts[Index] == 0)
      continue;
    absl::Duration LongerRun =
        std::max(Room.m_RunTime - Home.m_RunTime, absl::ZeroDuration());
    Away +=
        m_Parts[Index] * (std::max(0.0, signedWait(Room)) +
                          absl::ToDoubleSeconds(LongerRun + Room.m_AddedTime));
  }
  return signedWait(Home) - Away - priceOf(MeanBytes);
}

void DataCenterSpill::update(const DataCenterRoom &Home,
                             const std::vector<DataCenterRoom> &Others,
                             double MeanBytes, absl::Time Now) {
  absl::Duration Passed = std::min(Now - m_UpdatedAt, MaxStep);
  m_UpdatedAt = Now;
  m_MeanBytes = MeanBytes;
  m_Parts = divide(Others);
  bool CanLeave = std::any_of(m_Parts.begin(), m_Parts.end(),
                              [](double Part) { return Part > 0; });
  if (!CanLeave || Home.m_Slots <= 0) {
    m_Gain = m_Steady = m_Share = m_LaggedShare = 0;
    return;
  }
  m_Gain = std::clamp(gainOf(Home, Others, MeanBytes), -MaxGain, MaxGain);
  follow(Home, absl::ToDoubleSeconds(Passed));
}

double DataCenterSpill::mostNeeded(const DataCenterRoom &Home) const {
  double Fullness = Home.m_Requests / Home.m_Slots;
  if (Fullness >= ReturnFullness)
    return 1;
  // What stayed has filled so much; so much more may stay.
  double MayStay =
      (1 - m_LaggedShare) * ReturnFullness / std::max(Fullness, 0.01);
  return std::max(0.0, 1 - MayStay);
}

void DataCenterSpill::follow(const DataCenterRoom &Home, double Seconds) {
  double Most = mostNeeded(Home);
  m_Steady =
      std::clamp(m_Steady + SteadySharePerGain * m_Gain * Seconds, 0.0, Most);
  double Wanted = std::clamp(m_Steady + SharePerGain * m_Gain, 0.0, Most);
  double MaxChange = MaxChangePerSecond * Seconds;
  m_Share += std::clamp(Wanted - m_Share, -MaxChange, MaxChange);
  double Lag = absl::ToDoubleSeconds(FullnessLag + Home.m_RunTime);
  m_LaggedShare += std::min(1.0, Seconds / Lag) * (m_Share - m_LaggedShare);
}

std::optional<std::size_t>
DataCenterSpill::choose(const Request &Next, absl::BitGenRef Random) const {
  if (Next.m_HasCrossed || m_Share < MinShare)
    return std::nullopt;
  if (Next.m_Bytes > HeavyFactor * m_MeanBytes &&
      m_Gain < priceOf(Next.m_Bytes - m_MeanBytes))
    return std::nullopt;
  if (!absl::Bernoulli(Random, std::min(m_Share, 1.0)))
    return std::nullopt;
  double Drawn = absl::Uniform(Random, 0.0, 1.0);
  for (std::size_t Index = 0; Index < m_Parts.size(); ++Index) {
    if (m_Parts[Index] > 0 && Drawn < m_Parts[Index])
      return Index;
    Drawn -= m_Parts[Index];
  }
  return std::nullopt;
}

} // namespace knapweedloft::policy
