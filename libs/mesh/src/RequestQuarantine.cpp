#include "mesh/RequestQuarantine.h"

#include "mesh/JsonValues.h"
#include "mesh/LogText.h"

#include "fmt/format.h"
#include "nlohmann/json.hpp"

#include <algorithm>
#include <charconv>
#include <exception>
#include <iterator>
#include <limits>
#include <memory>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using model::Fingerprint;
using policy::CrashEvidence;
using policy::RequestStanding;
using policy::TargetCrash;

/// A record of the store holds 256 KB.
constexpr std::size_t MaxStoredFingerprints = 8'192;
constexpr std::size_t MaxStoredCompletions = 1'024;
constexpr std::size_t MaxDescribedCrashes = 5;
constexpr absl::Duration ExpiryInterval = absl::Minutes(1);
/// Bounds ages that other processes tell.
constexpr absl::Duration MaxAge = absl::Hours(30 * 24);
/// Unix milliseconds; a time far beyond any that is meant.
constexpr std::uint64_t MaxUnixMs = 100'000'000'000'000;
constexpr std::uint64_t MaxSequence = std::numeric_limits<std::uint32_t>::max();

std::uint64_t ageOf(absl::Time At, absl::Time Now) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Now - At)));
}

absl::Time timeOf(std::uint64_t AgeMicroseconds, absl::Time Now) {
  auto Longest = static_cast<std::uint64_t>(absl::ToInt64Microseconds(MaxAge));
  return Now - absl::Microseconds(static_cast<std::int64_t>(
                   std::min(AgeMicroseconds, Longest)));
}

std::unique_ptr<wire::CrashReportT> reportOf(const TargetCrash &Crash,
                                             absl::Time Now) {
  auto Report = std::make_unique<wire::CrashReportT>();
  Report->daemon = Crash.m_Daemon;
  Report->incarnation = Crash.m_Incarnation;
  Report->sequence = Crash.m_Sequence;
  Report->instance = Crash.m_Instance;
  Report->age_us = ageOf(Crash.m_At, Now);
  Report->in_flight = Crash.m_InFlight;
  return Report;
}

TargetCrash crashOf(const wire::CrashReportT &Report, absl::Time Now) {
  return {.m_Daemon = Report.daemon,
          .m_Incarnation = Report.incarnation,
          .m_Sequence = Report.sequence,
          .m_Instance = Report.instance,
          .m_At = timeOf(Report.age_us, Now),
          .m_InFlight = Report.in_flight};
}

void append(wire::SuspectsT &Message,
            const std::vector<CrashEvidence::Completion> &Completions,
            absl::Time Now) {
  for (const auto &[Request, At] : Completions)
    Message.completed.emplace_back(Request, ageOf(At, Now));
}

Fingerprint fingerprintFrom(const std::string &Hex) {
  Fingerprint Value = 0;
  auto Read = std::from_chars(Hex.data(), Hex.data() + Hex.size(), Value, 16);
  return Read.ec == std::errc() && Read.ptr == Hex.data() + Hex.size() ? Value
                                                                       : 0;
}

} // namespace

RequestQuarantine::RequestQuarantine(Options Settings, ComponentLog Log)
    : m_Options(std::move(Settings)), m_Log(Log),
      m_Evidence(m_Options.m_Evidence) {}

std::string RequestQuarantine::describeCrashes(Fingerprint Request,
                                               absl::Time Now) const {
  std::vector<const TargetCrash *> Crashes = m_Evidence.crashesOf(Request, Now);
  std::reverse(Crashes.begin(), Crashes.end());
  std::string Text;
  for (std::size_t Index = 0; Index < Crashes.size(); ++Index) {
    if (Index == MaxDescribedCrashes)
      return Text + fmt::format(",and {} more", Crashes.size() - Index);
    fmt::format_to(std::back_inserter(Text), "{}{}/{} {:.1f}s ago",
                   Index == 0 ? "" : ",", Crashes[Index]->m_Daemon,
                   Crashes[Index]->m_Instance,
                   absl::ToDoubleSeconds(Now - Crashes[Index]->m_At));
  }
  return Text;
}

void RequestQuarantine::onTargetCrash(const std::string &Instance,
                                      std::span<const Fingerprint> InFlight,
                                      absl::Time Now) {
  TargetCrash Crash{.m_Daemon = m_Options.m_Self.m_Name,
                    .m_Incarnation = m_Options.m_Self.m_Incarnation,
                    .m_Sequence = ++m_LastReport,
                    .m_Instance = Instance,
                    .m_At = Now,
                    .m_InFlight = m_Evidence.suspectsOf(InFlight, Now)};
  m_Log.state("The target crashed.", {{"instance", Instance},
                                      {"in_flight", InFlight.size()},
                                      {"suspects", Crash.m_InFlight.size()}});
  if (Crash.m_InFlight.empty())
    return;
  wire::SuspectsT Message;
  Message.crashes.push_back(reportOf(Crash, Now));
  addCrash(std::move(Crash), Now);
  m_NeedsWrite = true;
  m_Options.m_Hooks.m_Broadcast(Message);
}

bool RequestQuarantine::addCrash(TargetCrash Crash, absl::Time Now) {
  std::vector<Fingerprint> InFlight = Crash.m_InFlight;
  if (!m_Evidence.addCrash(std::move(Crash), Now))
    return false;
  logQuarantined(InFlight, Now);
  return true;
}

void RequestQuarantine::logQuarantined(const std::vector<Fingerprint> &InFlight,
                                       absl::Time Now) const {
  for (Fingerprint Request : InFlight) {
    policy::RequestJudgement Found = m_Evidence.judge(Request, Now);
    if (Found.m_Standing == RequestStanding::Quarantined)
      m_Log.state("A request is quarantined.",
                  {{"request", fmt::format("{:016x}", Request)},
                   {"crashes", Found.m_Crashes},
                   {"explained", Found.m_Explained},
                   {"for", Found.m_Until - Now},
                   {"decided_by", describeCrashes(Request, Now)}});
  }
}

void RequestQuarantine::onCompleted(Fingerprint Request, absl::Time Now) {
  if (!m_Evidence.addOwnCompletion(Request, Now))
    return;
  m_Log.state("A suspected request was completed.",
              {{"request", fmt::format("{:016x}", Request)}});
  broadcastCompletions({{Request, Now}}, Now);
}

void RequestQuarantine::broadcastCompletions(
    const std::vector<CrashEvidence::Completion> &Completions, absl::Time Now) {
  if (Completions.empty())
    return;
  m_NeedsWrite = true;
  wire::SuspectsT Message;
  append(Message, Completions, Now);
  m_Options.m_Hooks.m_Broadcast(Message);
}

void RequestQuarantine::onLinkUp(link::PeerHandle Link, const std::string &Peer,
                                 absl::Time Now) {
  wire::SuspectsT Message;
  for (const std::string &Daemon : {m_Options.m_Self.m_Name, Peer})
    for (const TargetCrash *Crash : m_Evidence.crashesBy(Daemon))
      Message.crashes.push_back(reportOf(*Crash, Now));
  append(Message, m_Evidence.completions(), Now);
  if (!Message.crashes.empty() || !Message.completed.empty())
    m_Options.m_Hooks.m_Send(Link, Message);
}

void RequestQuarantine::onMessage(const wire::SuspectsT &Message,
                                  absl::Time Now) {
  for (const wire::CompletedRequest &Completed : Message.completed)
    m_Evidence.addCompletion(Completed.fingerprint(),
                             timeOf(Completed.age_us(), Now));
  for (const auto &Report : Message.crashes) {
    TargetCrash Crash = crashOf(*Report, Now);
    bool IsOwn = Crash.m_Daemon == m_Options.m_Self.m_Name;
    if (!addCrash(Crash, Now))
      continue;
    m_NeedsWrite = m_NeedsWrite || IsOwn;
    broadcastCompletions(m_Evidence.completionsAgainst(Crash), Now);
  }
}

bool RequestQuarantine::release(Fingerprint Request, absl::Time Now) {
  if (m_Evidence.crashesOf(Request, Now).empty())
    return false;
  m_Evidence.addCompletion(Request, Now);
  m_Log.state("A request was released by an operator.",
              {{"request", fmt::format("{:016x}", Request)}});
  broadcastCompletions({{Request, Now}}, Now);
  return true;
}

std::vector<QuarantinedRequest> RequestQuarantine::list(absl::Time Now) const {
  std::vector<QuarantinedRequest> Listed;
  for (RequestStanding Standing :
       {RequestStanding::Quarantined, RequestStanding::Probation,
        RequestStanding::Isolated, RequestStanding::Suspect})
    for (Fingerprint Request : m_Evidence.requestsOf(Standing, Now)) {
      policy::RequestJudgement Found = m_Evidence.judge(Request, Now);
      Listed.push_back(
          {.m_Fingerprint = Request,
           .m_Standing = Standing,
           .m_Crashes = Found.m_Crashes,
           .m_Explained = Found.m_Explained,
           .m_Remaining = std::max(Found.m_Until - Now, absl::ZeroDuration()),
           .m_DecidedBy = describeCrashes(Request, Now)});
    }
  return Listed;
}

std::vector<const TargetCrash *> RequestQuarantine::storedCrashes() const {
  std::vector<const TargetCrash *> Crashes =
      m_Evidence.crashesBy(m_Options.m_Self.m_Name);
  std::size_t Fingerprints = 0;
  auto First = Crashes.end();
  while (First != Crashes.begin()) {
    Fingerprints += (*std::prev(First))->m_InFlight.size();
    if (Fingerprints > MaxStoredFingerprints)
      break;
    --First;
  }
  Crashes.erase(Crashes.begin(), First);
  return Crashes;
}

std::string RequestQuarantine::recordText(absl::Time Now,
                                          absl::Time Wall) const {
  nlohmann::json Text = {{"crashes", nlohmann::json::array()},
                         {"completed", nlohmann::json::array()}};
  for (const TargetCrash *Crash : storedCrashes()) {
    nlohmann::json InFlight = nlohmann::json::array();
    for (Fingerprint Request : Crash->m_InFlight)
      InFlight.push_back(fmt::format("{:016x}", Request));
    Text["crashes"].push_back(
        {{"incarnation", Crash->m_Incarnation},
         {"sequence", Crash->m_Sequence},
         {"instance", Crash->m_Instance},
         {"at_ms", absl::ToUnixMillis(Wall - (Now - Crash->m_At))},
         {"in_flight", std::move(InFlight)}});
  }
  std::vector<CrashEvidence::Completion> Completions = m_Evidence.completions();
  if (Completions.size() > MaxStoredCompletions)
    Completions.resize(MaxStoredCompletions);
  for (const auto &[Request, At] : Completions)
    Text["completed"].push_back(
        {{"request", fmt::format("{:016x}", Request)},
         {"at_ms", absl::ToUnixMillis(Wall - (Now - At))}});
  return toJsonText(Text);
}

void RequestQuarantine::onRecord(const StoredRecord &Record, absl::Time Now,
                                 absl::Time Wall) {
  if (Record.m_IsDeleted)
    return;
  try {
    mergeRecord(Record, Now, Wall);
  } catch (const std::exception &Error) {
    m_Log.state("Skipped an unreadable crash record.",
                {{"key", Record.m_Key},
                 {"era", Record.m_Era},
                 {"offset", Record.m_Offset},
                 {"why", shortReason(Error.what())}});
  }
}

void RequestQuarantine::mergeRecord(const StoredRecord &Record, absl::Time Now,
                                    absl::Time Wall) {
  nlohmann::json Text = nlohmann::json::parse(Record.m_Value);
  auto TimeOf = [&](const nlohmann::json &Entry) {
    absl::Duration Age =
        Wall - absl::FromUnixMillis(static_cast<std::int64_t>(
                   wholeNumber(Entry.at("at_ms"), MaxUnixMs).value()));
    return Now - std::clamp(Age, absl::ZeroDuration(), MaxAge);
  };
  for (const nlohmann::json &Entry : Text.at("completed"))
    m_Evidence.addCompletion(
        fingerprintFrom(Entry.at("request").get<std::string>()), TimeOf(Entry));
  std::size_t OwnCrashes = 0;
  for (const nlohmann::json &Entry : Text.at("crashes")) {
    TargetCrash Crash{
        .m_Daemon = Record.m_Key,
        .m_Incarnation = wholeNumber(Entry.at("incarnation")).value(),
        .m_Sequence = static_cast<std::uint32_t>(
            wholeNumber(Entry.at("sequence"), MaxSequence).value()),
        .m_Instance = Entry.at("instance").get<std::string>(),
        .m_At = TimeOf(Entry)};
    for (const nlohmann::json &Request : Entry.at("in_flight"))
      if (Fingerprint Known = fingerprintFrom(Request.get<std::string>()))
        Crash.m_InFlight.push_back(Known);
    ++OwnCrashes;
    if (addCrash(Crash, Now))
      broadcastCompletions(m_Evidence.completionsAgainst(Crash), Now);
  }
  // A write whose answer was lost may be done late and undo a newer one.
  if (Record.m_Key == m_Options.m_Self.m_Name &&
      OwnCrashes < storedCrashes().size())
    m_NeedsWrite = true;
}

void RequestQuarantine::onRecordLost(absl::Time When) {
  if (storedCrashes().empty() && m_Evidence.completions().empty())
    return;
  m_NeedsWrite = true;
  m_NextWrite = std::max(m_NextWrite, When);
}

void RequestQuarantine::tick(absl::Time Now, absl::Time Wall) {
  if (Now >= m_NextExpiry) {
    m_NextExpiry = Now + ExpiryInterval;
    m_Evidence.expire(Now);
  }
  if (!m_NeedsWrite || !m_HasReadRecords || m_IsWriting || Now < m_NextWrite)
    return;
  m_NeedsWrite = false;
  m_IsWriting = true;
  m_Options.m_Hooks.m_WriteRecord(
      recordText(Now, Wall), [this](bool IsDone, absl::Time Ended) {
        m_IsWriting = false;
        if (IsDone)
          return;
        m_NeedsWrite = true;
        m_NextWrite = Ended + m_Options.m_WriteRetryDelay;
      });
}

} // namespace knapweedloft::mesh
