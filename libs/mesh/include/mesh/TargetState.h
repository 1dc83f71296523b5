#ifndef KNAPWEEDLOFT_MESH_TARGETSTATE_H
#define KNAPWEEDLOFT_MESH_TARGETSTATE_H

#include "mesh/TargetReport.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace knapweedloft::mesh {

/// Whether the local target gets requests, and if not, why.
enum class TargetAvailability : std::uint8_t {
  Open,
  Unknown,     ///< No report or check yet, or none since a restart.
  Unconfirmed, ///< Nothing says that the instance belongs to the service.
  Leaving,     ///< It reported, or said in an answer, that it leaves.
  Down,        ///< It does not accept connections.
  Withdrawn,   ///< An operator withdrew its data center.
  Stopping,    ///< The daemon is stopping.
  Held,        ///< A roll-out does not let its version have requests.
  Superseded,  ///< A new version has taken over from its version.
  AwaitsRate   ///< It is cold, and no configuration says what it bears.
};

inline constexpr model::NameTable<TargetAvailability, 10>
    TargetAvailabilityNames{{"open", "unknown", "unconfirmed", "leaving",
                             "down", "withdrawn", "stopping", "held",
                             "superseded", "awaits-rate"}};

/// Why a roll-out closes a target.
enum class RolloutHold : std::uint8_t { None, Held, Superseded };

/// The state of a daemon's local target, derived from the target's reports and
/// answers, from health checks and from the operator's records.
///
/// Reports may arrive late, out of order, from earlier instances of the target
/// or from other targets: the start time orders instances, the sequence number
/// orders the reports of one instance. A leaving that was acknowledged holds
/// for its instance also if no report of that instance was known then, and only
/// a later start opens the target again. Where the start time of a leaving
/// instance is unknown, starts before its leaving count as the same.
///
/// An address may be used again by a target of another service. A health check
/// tells the instance and not its service, so that an instance gets requests
/// only once a report, or a peer that remembers one, has named the service for
/// it. Not thread-safe.
class TargetState {
public:
  struct Options {
    std::string m_Service;
    model::Endpoint m_At;
    /// A report alone does not open a target that ran before this process
    /// started: a previous process may have acknowledged that it leaves.
    bool m_NeedsCheck = false;
    /// Unix time at which this process started. Instances that started later
    /// have not said to an earlier process that they leave.
    absl::Time m_ProcessStart = absl::InfiniteFuture();
  };

  /// What became of a report. Outdated: it says nothing of the present
  /// instance. Foreign: of another service or address.
  enum class ReportResult : std::uint8_t { Accepted, Outdated, Foreign };

  static constexpr model::NameTable<ReportResult, 3> ReportResultNames{
      {"accepted", "outdated", "foreign"}};

  explicit TargetState(Options Settings)
      : m_Settings(std::move(Settings)), m_NeedsCheck(m_Settings.m_NeedsCheck) {
  }

  ReportResult onReport(const TargetReport &Report, absl::Time Now);
  /// A health check of \p Instance, which began at \p Began, succeeded or
  /// failed.
  void onHealthCheck(const std::string &Instance, bool IsHealthy,
                     absl::Time Began);
  /// A health check that began at \p Began got an answer, well or not, which
  /// named \p Instance, or nobody.
  void onCheckAnswered(const std::string &Instance, absl::Time Began);
  /// A health check found no connection.
  void onCheckRefused(absl::Time Now);
  /// A peer remembers that \p Instance was open for the service.
  void onRemembered(const std::string &Instance);
  /// \p Instance answered a request that was sent to another instance.
  void onUnexpectedInstance(const std::string &Instance);
  /// The target said in an answer of its present instance that it leaves.
  /// \param At Unix time; infinitely late: unknown.
  void onLeaving(absl::Time At);
  /// The target refused a connection.
  void onConnectionRefused(absl::Time Now);
  void setWithdrawn(bool IsWithdrawn);
  void setRolloutHold(RolloutHold Hold) { m_Hold = Hold; }
  /// The target is cold, and how much it bears is not known.
  void setAwaitsRate(bool AwaitsRate) { m_AwaitsRate = AwaitsRate; }
  void setStopping() { m_IsStopping = true; }

  [[nodiscard]] TargetAvailability availability() const;
  [[nodiscard]] bool isOpen() const {
    return availability() == TargetAvailability::Open;
  }
  /// \returns whether the target is open, but for what a roll-out says.
  [[nodiscard]] bool isOpenForRollout() const;
  /// \returns whether the target has said that it leaves, also while it is
  /// closed for another reason.
  [[nodiscard]] bool isLeaving() const { return m_IsLeaving; }
  /// \returns whether a health check is needed to learn the target's state.
  [[nodiscard]] bool needsCheck() const;
  [[nodiscard]] const std::string &instance() const { return m_Instance; }
  [[nodiscard]] std::uint64_t sequence() const { return m_Sequence; }
  [[nodiscard]] std::int64_t startTimeMs() const { return m_StartTimeMs; }

private:
  /// An instance that has said that it leaves.
  struct LeftInstance {
    std::string m_Instance;
    std::int64_t m_StartTimeMs = 0; ///< 0: unknown.
    absl::Time m_At;                ///< Unix time of its leaving.
  };

  /// What the latest report of an instance said of its service.
  struct ReportedService {
    std::string m_Instance;
    std::int64_t m_StartTimeMs = 0; ///< 0: unknown.
    std::uint64_t m_Sequence = 0;
    bool m_IsOwn = false;
  };

  /// Late reports of more instances than this are not expected.
  static constexpr std::size_t MaxFormerInstances = 16;

  [[nodiscard]] bool isOutdated(const TargetReport &Report) const;
  /// \returns whether the start of \p Instance at \p StartTimeMs (0: unknown)
  /// is one that has said that it leaves.
  [[nodiscard]] bool hasLeft(const std::string &Instance,
                             std::int64_t StartTimeMs) const;
  void addLeft(const std::string &Instance, std::int64_t StartTimeMs,
               absl::Time At);
  void noteService(const TargetReport &Report);
  /// \returns whether \p Instance is known to belong to the service.
  [[nodiscard]] bool isConfirmed(const std::string &Instance) const;
  /// A leaving of an instance that is not known to be the present one.
  ReportResult onLeavingOfOther(const TargetReport &Report, absl::Time Now);
  /// Sets the present instance. What was known of the former one is dropped.
  void setInstance(const std::string &Instance, std::int64_t StartTimeMs);

  Options m_Settings;
  bool m_NeedsCheck;
  /// Health checks that began before this do not open the target.
  absl::Time m_DoubtedAt = absl::InfinitePast();
  std::deque<LeftInstance> m_Left;
  std::deque<ReportedService> m_Services;
  std::string m_Instance; ///< Empty: unknown.
  std::int64_t m_StartTimeMs = 0;
  std::uint64_t m_Sequence = 0;
  bool m_IsLeaving = false;
  bool m_IsDown = false;
  absl::Time m_RefusedAt = absl::InfinitePast(); ///< The latest connection.
  bool m_AnswersAgain = false; ///< A health check since then, well or not.
  bool m_IsWithdrawn = false;
  bool m_IsStopping = false;
  bool m_HasCheckFailed = false;
  bool m_AwaitsRate = false;
  RolloutHold m_Hold = RolloutHold::None;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETSTATE_H
