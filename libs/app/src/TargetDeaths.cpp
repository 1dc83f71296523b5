#include "app/TargetSide.h"

#include "app/Clock.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

/// Connections that break within this belong to one death.
constexpr absl::Duration CutWindow = absl::Milliseconds(30);
/// How long the answers of a death are held for the peers to know.
constexpr absl::Duration TellLimit = absl::Milliseconds(150);
constexpr absl::Duration CutRetryAfter = absl::Seconds(1);

} // namespace

bool TargetSide::isPutAside(model::Fingerprint Print,
                            const state::Snapshot &State, absl::Time Now) {
  const model::Quarantine *Listed = State.findQuarantine(Print);
  if (!Listed)
    return m_Watch.isQuarantined(Print, Now);
  m_Watch.dropQuarantined(Print);
  return wallNow() < Listed->m_Expires;
}

void TargetSide::startSuspects(absl::Time Now) {
  for (std::size_t Left = m_SuspectQueue.size(); Left > 0; --Left) {
    Run Next = std::move(m_SuspectQueue.front());
    m_SuspectQueue.pop_front();
    model::Fingerprint Print = Next.m_Message.fingerprint;
    if (m_Watch.isQuarantined(Print, Now))
      refuse(Next.m_From, Next.m_Id, RefusalReason::Quarantined, Ran::No,
             absl::ZeroDuration(), Now);
    else if (Now >= Next.m_Deadline)
      refuse(Next.m_From, Next.m_Id, RefusalReason::DeadlinePassed, Ran::No,
             absl::ZeroDuration(), Now);
    else if (m_Watch.mayStart(Print, Now))
      offer(std::move(Next), Now);
    else
      m_SuspectQueue.push_back(std::move(Next));
  }
}

void TargetSide::holdCut(const Run &Done, absl::Time Now) {
  if (m_Cuts.empty() || m_Cuts.back().m_IsTold) {
    m_Cuts.emplace_back().m_Since = Now;
    m_Options.m_Hooks.m_Wake(Now + CutWindow);
  }
  m_Cuts.back().m_Cuts.push_back({Done.m_Id, Done.m_From,
                                  Done.m_Message.fingerprint,
                                  Done.m_AttemptsLeft});
}

void TargetSide::noteAlive(const Run &Done) {
  for (CutBatch &Batch : m_Cuts)
    if (!Batch.m_IsTold && Done.m_Started <= Batch.m_Since)
      Batch.m_IsTargetAlive = true;
}

void TargetSide::judgeCuts(absl::Time Now) {
  while (!m_Cuts.empty()) {
    CutBatch &Batch = m_Cuts.front();
    if (!Batch.m_IsTold) {
      if (Now < Batch.m_Since + CutWindow)
        return;
      judge(Batch, Now);
    }
    if (Batch.m_AwaitedAcks > 0 &&
        Now < Batch.m_Since + CutWindow + TellLimit) {
      m_Options.m_Hooks.m_Wake(Batch.m_Since + CutWindow + TellLimit);
      return;
    }
    CutBatch Done = std::move(Batch);
    m_Cuts.pop_front();
    for (const CutBatch::Cut &Cut : Done.m_Cuts) {
      wire::AnswerT Answer = makeRefusal(Cut.m_Id, RefusalReason::BadAnswer,
                                         Ran::Unknown, CutRetryAfter, Now);
      Answer.attempts_left = Cut.m_AttemptsLeft;
      settle(Cut.m_From, std::move(Answer), Now);
    }
  }
}

void TargetSide::judge(CutBatch &Batch, absl::Time Now) {
  Batch.m_IsTold = true;
  bool IsStillRunning =
      std::any_of(m_Runs.begin(), m_Runs.end(), [&](const auto &Held) {
        return Held.second.m_Started != absl::InfinitePast() &&
               Held.second.m_Started <= Batch.m_Since;
      });
  if (!Batch.m_IsTargetAlive && !IsStillRunning)
    learnDeath(Batch, Now);
  for (const CutBatch::Cut &Cut : Batch.m_Cuts)
    m_Watch.end(Cut.m_Fingerprint, false);
  startSuspects(Now);
}

void TargetSide::learnDeath(CutBatch &Batch, absl::Time Now) {
  std::vector<model::Fingerprint> InFlight;
  for (const CutBatch::Cut &Cut : Batch.m_Cuts)
    InFlight.push_back(Cut.m_Fingerprint);
  policy::PoisonRequestDetector::CrashFindings Learned =
      m_Watch.onCrash(InFlight, Now);
  for (model::Fingerprint Culprit : Learned.m_Quarantined)
    if (m_Options.m_Hooks.m_PutAside)
      m_Options.m_Hooks.m_PutAside(Culprit);
  if (!m_Options.m_Hooks.m_TellSuspects)
    return;
  wire::SuspectsT News;
  News.sequence = Batch.m_Sequence = ++m_LastNews;
  News.suspects = std::move(Learned.m_Suspects);
  News.quarantined = std::move(Learned.m_Quarantined);
  Batch.m_AwaitedAcks = m_Options.m_Hooks.m_TellSuspects(News);
}

void TargetSide::onSuspects(const wire::SuspectsT &News, absl::Time Now) {
  m_Watch.addSuspects(News.suspects, Now);
  m_Watch.addQuarantined(News.quarantined, Now);
}

void TargetSide::onSuspectsAck(std::uint64_t Sequence, absl::Time Now) {
  for (CutBatch &Batch : m_Cuts)
    if (Batch.m_IsTold && Batch.m_Sequence == Sequence &&
        Batch.m_AwaitedAcks > 0)
      --Batch.m_AwaitedAcks;
  judgeCuts(Now);
}

} // namespace knapweedloft::app
