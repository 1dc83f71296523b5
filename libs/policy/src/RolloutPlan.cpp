#include "policy/RolloutPlan.h"

#include "RolloutAllowances.h"
#include "RolloutRoom.h"

#include <algorithm>
#include <array>

namespace knapweedloft::policy {

namespace {

/// Of all requests, where demand is so low that the slack allows it.
constexpr double MaxTrialShare = 0.25;
/// Of the exposure that the settings allow.
constexpr double TrialPart = 0.5;       ///< Drawn by entry sides.
constexpr double TrialGatePart = 0.6;   ///< Let through by the gates.
constexpr double SwitchPart = 0.95;     ///< Likewise, while it takes over.
constexpr double SwitchSlackPart = 0.8; ///< Of the slack, likewise.

/// The taking over begins this long before the deadline, in short roll-outs
/// this part of their duration.
constexpr absl::Duration SwitchTime = absl::Milliseconds(2250);
constexpr double SwitchTimePart = 0.25;
/// The end is decided this long before the deadline: longer than from one
/// update to the next.
constexpr absl::Duration EndTime = absl::Milliseconds(300);
constexpr double EndTimePart = 0.05;

/// A longer pause between updates makes what was known before it void.
constexpr absl::Duration MaxPause = absl::Seconds(1);
/// Samples that waited for a paused process are read within this time.
constexpr absl::Duration BacklogTime = absl::Milliseconds(50);
/// Within this time after a pause, all daemons have told anew.
constexpr absl::Duration FreshTime = absl::Milliseconds(300);
/// Without samples, the roll-out is given up this long after its deadline.
constexpr absl::Duration SilenceTime = absl::Milliseconds(1500);
/// Until the next update a share is in force, at most.
constexpr absl::Duration UpdateTime = absl::Milliseconds(300);
/// Within this time, news of a change have closed the former targets.
constexpr absl::Duration NewsTime = absl::Milliseconds(300);

/// Time until the next command, at least, that allowances have to last for.
constexpr absl::Duration TrialAhead = absl::Milliseconds(1500);
constexpr absl::Duration SwitchAhead = absl::Milliseconds(750);

/// The rest of the allowances has to suffice for this many times the requests
/// that are expected: targets do not get even parts.
constexpr double FullMargin = 1.15;

struct Step {
  double m_From = 0; ///< Part of the time from first step to end.
  double m_Share = 0;
};

constexpr std::array<Step, 4> Steps = {
    {{0, 0.15}, {0.13, 0.3}, {0.25, 0.6}, {0.75, 1}}};

} // namespace

class RolloutPlan::Impl {
public:
  Impl(const Options &Settings, Order Ordered, RolloutPhase Adopted,
       absl::Time Now);

  void onSample(const RolloutSample &Sample, absl::Time Now);
  void onDaemonLost(const std::string &Daemon, absl::Time Now);
  const Command &update(absl::Time Now);

private:
  void noticePause(absl::Time Now);
  void decide(absl::Time Now);
  void keepTrying(absl::Time Now);
  void takeOver(absl::Time Now);
  void finish(absl::Time Now);
  /// \returns whether the version is bad, and rolled back.
  bool rollBackIfBad(double Confidence, absl::Time Now);
  void end(RolloutPhase Phase, std::string Reason);
  void rollBackAtDeadline(absl::Time Now);
  void allow(absl::Time Now);

  [[nodiscard]] bool isFresh(absl::Time Now) const;
  [[nodiscard]] RolloutRoom::Question question(absl::Time Now) const;
  [[nodiscard]] double trialShare(absl::Time Now) const;
  [[nodiscard]] double stepShare(absl::Time Now) const;
  [[nodiscard]] double budgetedShare(double Share, absl::Time Now) const;
  [[nodiscard]] double trialBudget() const;
  [[nodiscard]] double switchBudget() const;

  Options m_Settings;
  Order m_Order;
  absl::Time m_Deadline;
  absl::Time m_SwitchAt;
  absl::Time m_EndAt;
  absl::Time m_UpdatedAt;
  absl::Time m_KnownSince; ///< What was known before does not count.
  absl::Time m_FullSince = absl::InfiniteFuture();
  VersionJudge m_Judge;
  RolloutAllowances m_Allowances;
  RolloutRoom m_Room;
  Command m_Command;
};

RolloutPlan::Impl::Impl(const Options &Settings, Order Ordered,
                        RolloutPhase Adopted, absl::Time Now)
    : m_Settings(Settings), m_Order(std::move(Ordered)),
      m_Deadline(m_Order.m_Received + m_Order.m_Duration), m_UpdatedAt(Now),
      m_KnownSince(Now), m_Judge(Settings.m_Judge, m_Order.m_TargetVersion),
      m_Allowances(m_Order.m_TargetVersion), m_Room(m_Order.m_TargetVersion) {
  absl::Duration Duration = m_Order.m_Duration;
  m_SwitchAt = m_Deadline - std::min(SwitchTime, Duration * SwitchTimePart);
  m_EndAt = m_Deadline - std::min(EndTime, Duration * EndTimePart);
  m_Command.m_Phase =
      Adopted == RolloutPhase::None ? RolloutPhase::Trial : Adopted;
  m_Command.m_Share = Adopted == RolloutPhase::Completed ? 1 : 0;
}

void RolloutPlan::Impl::onSample(const RolloutSample &Sample, absl::Time Now) {
  noticePause(Now);
  m_Judge.onSample(Sample, Now);
  m_Allowances.onSample(Sample, Now);
  m_Room.onSample(Sample, Now);
}

void RolloutPlan::Impl::onDaemonLost(const std::string &Daemon,
                                     absl::Time Now) {
  noticePause(Now);
  m_Allowances.onDaemonLost(Daemon);
  m_Room.onDaemonLost(Daemon);
}

void RolloutPlan::Impl::noticePause(absl::Time Now) {
  if (Now - m_UpdatedAt > MaxPause)
    m_KnownSince = Now;
  m_UpdatedAt = std::max(m_UpdatedAt, Now);
}

bool RolloutPlan::Impl::isFresh(absl::Time Now) const {
  return Now - m_KnownSince >= FreshTime;
}

RolloutRoom::Question RolloutPlan::Impl::question(absl::Time Now) const {
  return {.m_Now = Now, .m_Since = m_KnownSince + BacklogTime};
}

/// Where demand is low, the slack is most of what the version may get.
double RolloutPlan::Impl::trialShare(absl::Time Now) const {
  double Seconds = absl::ToDoubleSeconds(m_Order.m_Duration);
  double Expected = std::max(m_Allowances.arrivals(),
                             m_Allowances.arrivalRate(Now) * Seconds);
  double BySlack = m_Settings.m_ExposureSlack / std::max(Expected, 1.0);
  double Share = TrialPart * (m_Settings.m_ExposureShare + BySlack);
  return std::min(
      Share, std::max(MaxTrialShare, TrialPart * m_Settings.m_ExposureShare));
}

double RolloutPlan::Impl::trialBudget() const {
  return TrialGatePart * (m_Settings.m_ExposureShare * m_Allowances.arrivals() +
                          m_Settings.m_ExposureSlack);
}

double RolloutPlan::Impl::switchBudget() const {
  double Budget =
      SwitchPart * m_Settings.m_ExposureShare * m_Allowances.arrivals() +
      SwitchSlackPart * m_Settings.m_ExposureSlack;
  return std::max(Budget, trialBudget());
}

double RolloutPlan::Impl::stepShare(absl::Time Now) const {
  double Past = absl::FDivDuration(Now - m_SwitchAt, m_EndAt - m_SwitchAt);
  double Share = 0;
  for (const Step &Next : Steps) {
    if (Past >= Next.m_From)
      Share = Next.m_Share;
  }
  return Share;
}

/// All requests go to the new version only if it may have all that come until
/// the deadline: the former targets take none then.
double RolloutPlan::Impl::budgetedShare(double Share, absl::Time Now) const {
  double Rate = m_Allowances.arrivalRate(Now);
  double Free = switchBudget() - m_Allowances.taken();
  auto RequestsIn = [Rate](absl::Duration Time) {
    return Rate * absl::ToDoubleSeconds(Time);
  };
  if (Share < 1 || Free < FullMargin * RequestsIn(m_Deadline - Now)) {
    double Left = Free - RequestsIn(m_Deadline - m_EndAt);
    double Needed = RequestsIn(UpdateTime);
    double Most = Needed > 0 ? Left / Needed : 1;
    Share = std::min({Share, Most, Steps[Steps.size() - 2].m_Share});
  }
  return std::max(Share, trialShare(Now));
}

const RolloutPlan::Command &RolloutPlan::Impl::update(absl::Time Now) {
  if (isFinal(m_Command.m_Phase))
    return m_Command;
  noticePause(Now);
  decide(Now);
  if (!isFinal(m_Command.m_Phase))
    allow(Now);
  return m_Command;
}

void RolloutPlan::Impl::decide(absl::Time Now) {
  m_Command.m_Reason.clear();
  if (rollBackIfBad(VersionJudge::DefaultConfidence, Now))
    return;
  if (Now >= m_EndAt)
    return finish(Now);
  bool MayTakeOver =
      Now >= m_SwitchAt && isFresh(Now) && m_Room.isEnough(question(Now));
  if (MayTakeOver)
    takeOver(Now);
  else
    keepTrying(Now);
}

bool RolloutPlan::Impl::rollBackIfBad(double Confidence, absl::Time Now) {
  VersionJudge::Verdict Verdict = m_Judge.judge(Now, Confidence);
  if (Verdict.m_IsBad)
    end(RolloutPhase::RolledBack,
        Verdict.m_Reason + " route=" + Verdict.m_Route +
            " answers=" + std::to_string(Verdict.m_Answers) +
            " bad=" + std::to_string(Verdict.m_BadAnswers));
  return Verdict.m_IsBad;
}

void RolloutPlan::Impl::keepTrying(absl::Time Now) {
  m_FullSince = absl::InfiniteFuture();
  m_Command.m_Share = m_Room.hasTargets({.m_Now = Now, .m_Since = m_KnownSince})
                          ? trialShare(Now)
                          : 0;
}

void RolloutPlan::Impl::takeOver(absl::Time Now) {
  if (m_Command.m_Phase != RolloutPhase::Switching)
    m_Command.m_Reason = "taking over before the deadline";
  m_Command.m_Phase = RolloutPhase::Switching;
  bool IsFull = m_FullSince != absl::InfiniteFuture();
  m_Command.m_Share = IsFull ? 1 : budgetedShare(stepShare(Now), Now);
  if (m_Command.m_Share < 1)
    return;
  m_FullSince = std::min(m_FullSince, Now);
  RolloutRoom::Question Asked = question(Now);
  Asked.m_Since = std::max(Asked.m_Since, m_FullSince + NewsTime);
  if (Now < Asked.m_Since || !m_Room.isFormerIdle(Asked))
    return;
  if (!rollBackIfBad(m_Settings.m_EndConfidence, Now))
    end(RolloutPhase::Completed, "former targets are idle");
}

void RolloutPlan::Impl::finish(absl::Time Now) {
  if (!isFresh(Now)) {
    keepTrying(Now);
    return;
  }
  if (rollBackIfBad(m_Settings.m_EndConfidence, Now))
    return;
  RolloutRoom::Question Asked = question(Now);
  Asked.m_WithCold = Now >= m_Deadline;
  if (m_Room.isEnough(Asked))
    end(RolloutPhase::Completed, "deadline");
  else if (Now >= m_Deadline)
    rollBackAtDeadline(Now);
  else
    keepTrying(Now);
}

void RolloutPlan::Impl::rollBackAtDeadline(absl::Time Now) {
  if (m_Room.hasTargets(question(Now)))
    end(RolloutPhase::RolledBack, "no room at the deadline");
  else if (Now >= m_Deadline + SilenceTime ||
           m_KnownSince <= m_Order.m_Received + FreshTime)
    end(RolloutPhase::RolledBack, "no target of the version at the deadline");
}

void RolloutPlan::Impl::end(RolloutPhase Phase, std::string Reason) {
  m_Command.m_Phase = Phase;
  m_Command.m_Share = Phase == RolloutPhase::Completed ? 1 : 0;
  m_Command.m_Allowances.clear();
  m_Command.m_Reason = std::move(Reason);
}

void RolloutPlan::Impl::allow(absl::Time Now) {
  bool IsTrial = m_Command.m_Share <= trialShare(Now);
  double Rate = m_Allowances.arrivalRate(Now);
  absl::Duration Time = IsTrial ? TrialAhead : SwitchAhead;
  if (m_Command.m_Share >= 1)
    Time = std::max(Time, m_Deadline - Now);
  double Ahead = Rate * m_Command.m_Share * absl::ToDoubleSeconds(Time);
  m_Allowances.raise(IsTrial ? trialBudget() : switchBudget(), Ahead, Now);
  m_Command.m_Allowances = m_Allowances.current(Now);
}

RolloutPlan::RolloutPlan(const Options &Settings, Order Ordered,
                         RolloutPhase Adopted, absl::Time Now)
    : m_Impl(
          std::make_unique<Impl>(Settings, std::move(Ordered), Adopted, Now)) {}

RolloutPlan::~RolloutPlan() = default;
RolloutPlan::RolloutPlan(RolloutPlan &&) noexcept = default;
RolloutPlan &RolloutPlan::operator=(RolloutPlan &&) noexcept = default;

void RolloutPlan::onSample(const RolloutSample &Sample, absl::Time Now) {
  m_Impl->onSample(Sample, Now);
}

void RolloutPlan::onDaemonLost(const std::string &Daemon, absl::Time Now) {
  m_Impl->onDaemonLost(Daemon, Now);
}

const RolloutPlan::Command &RolloutPlan::update(absl::Time Now) {
  return m_Impl->update(Now);
}

} // namespace knapweedloft::policy
