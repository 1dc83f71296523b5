#ifndef KNAPWEEDLOFT_MESH_REQUESTQUARANTINE_H
#define KNAPWEEDLOFT_MESH_REQUESTQUARANTINE_H

#include "link/LinkNode.h"
#include "mesh/ComponentLog.h"
#include "mesh/QuarantinedRequest.h"
#include "mesh/StoredRecord.h"
#include "model/Member.h"
#include "policy/CrashEvidence.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// Decides which requests may not be run because they crash their targets, and
/// shares what it is decided by with the other daemons.
///
/// Each daemon reports the crashes of its own target, over the links and in its
/// record in the store; either suffices. A daemon that restarts gets its former
/// reports back from its peers or from that record. Not thread-safe; hooks must
/// not call back into the object before they return.
class RequestQuarantine {
public:
  struct Hooks {
    std::function<void(const wire::SuspectsT &)> m_Broadcast;
    std::function<void(link::PeerHandle To, const wire::SuspectsT &)> m_Send;
    /// Writes this daemon's record to the store.
    std::function<void(std::string Value,
                       std::function<void(bool IsDone, absl::Time Now)>)>
        m_WriteRecord;
  };

  struct Options {
    model::Member m_Self;
    policy::CrashEvidence::Options m_Evidence;
    /// Delay before a failed write of the record is repeated.
    absl::Duration m_WriteRetryDelay = absl::Seconds(1);
    Hooks m_Hooks;
  };

  RequestQuarantine(Options Settings, ComponentLog Log);

  [[nodiscard]] policy::RequestJudgement judge(model::Fingerprint Request,
                                               absl::Time Now) const {
    return m_Evidence.judge(Request, Now);
  }
  /// \returns daemon, instance and age of the crashes that count against
  /// \p Request, the latest first.
  [[nodiscard]] std::string describeCrashes(model::Fingerprint Request,
                                            absl::Time Now) const;

  /// The local target crashed while it ran \p InFlight.
  void onTargetCrash(const std::string &Instance,
                     std::span<const model::Fingerprint> InFlight,
                     absl::Time Now);
  /// The local target completed a request.
  void onCompleted(model::Fingerprint Request, absl::Time Now);

  void onLinkUp(link::PeerHandle Link, const std::string &Peer, absl::Time Now);
  void onMessage(const wire::SuspectsT &Message, absl::Time Now);

  /// A daemon's record was read from the store. \p Wall is the time of day.
  void onRecord(const StoredRecord &Record, absl::Time Now, absl::Time Wall);
  /// All records have been read. The own record is not written before, as it
  /// may hold reports of an earlier life of this daemon.
  void onRecordsRead() { m_HasReadRecords = true; }
  /// The store may have lost this daemon's record: it is written again at
  /// \p When.
  void onRecordLost(absl::Time When);

  /// Releases a request from suspicion and quarantine. \returns false if no
  /// crash counts against it.
  bool release(model::Fingerprint Request, absl::Time Now);
  /// \returns the requests in quarantine, on probation or suspected.
  [[nodiscard]] std::vector<QuarantinedRequest> list(absl::Time Now) const;

  void tick(absl::Time Now, absl::Time Wall);

  [[nodiscard]] const policy::CrashEvidence &evidence() const {
    return m_Evidence;
  }

private:
  bool addCrash(policy::TargetCrash Crash, absl::Time Now);
  void broadcastCompletions(
      const std::vector<policy::CrashEvidence::Completion> &Completions,
      absl::Time Now);
  void logQuarantined(const std::vector<model::Fingerprint> &InFlight,
                      absl::Time Now) const;
  [[nodiscard]] std::vector<const policy::TargetCrash *> storedCrashes() const;
  [[nodiscard]] std::string recordText(absl::Time Now, absl::Time Wall) const;
  void mergeRecord(const StoredRecord &Record, absl::Time Now, absl::Time Wall);

  Options m_Options;
  ComponentLog m_Log;
  policy::CrashEvidence m_Evidence;
  std::uint32_t m_LastReport = 0;
  bool m_HasReadRecords = false;
  bool m_NeedsWrite = false;
  bool m_IsWriting = false;
  absl::Time m_NextWrite = absl::InfinitePast();
  absl::Time m_NextExpiry = absl::InfinitePast();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_REQUESTQUARANTINE_H
