#ifndef KNAPWEEDLOFT_POLICY_VERSIONJUDGE_H
#define KNAPWEEDLOFT_POLICY_VERSIONJUDGE_H

#include "policy/RolloutSample.h"

#include "absl/time/time.h"

#include <memory>
#include <string>

namespace knapweedloft::policy {

/// Compares the answers of a new version of a service with those of the former
/// version in the same seconds, route by route.
///
/// A version is bad if its targets fail more often, or take several times as
/// long, on one route at least, also with the worst of its targets left out: a
/// single slow or broken target says nothing about the version, and faults
/// below the service meet both versions alike. Confidence comes from the
/// counts. Not thread-safe.
///
/// \code
///   VersionJudge Judge({}, "v2");
///   Judge.onSample(Sample, Now); // from each target, several times a second
///   if (Judge.judge(Now).m_IsBad) ...
/// \endcode
class VersionJudge {
public:
  struct Options {
    /// Only differences of at least this share of the answers count.
    double m_MinFailureShare = 0.05;
    /// Answers that take this many times as long as usual count as slow.
    double m_SlowFactor = 3;
    /// Span of the answers that are compared.
    absl::Duration m_Window = absl::Seconds(30);
  };

  struct Verdict {
    bool m_IsBad = false;
    /// Answers of the new version that the verdict rests on.
    std::uint64_t m_Answers = 0;
    std::uint64_t m_BadAnswers = 0; ///< Failed or slow ones of these.
    std::string m_Route;            ///< That decided; empty if none did.
    std::string m_Reason;           ///< For the log; empty if not bad.
  };

  VersionJudge(const Options &Settings, std::string NewVersion);
  ~VersionJudge();
  VersionJudge(VersionJudge &&) noexcept;
  VersionJudge &operator=(VersionJudge &&) noexcept;

  void onSample(const RolloutSample &Sample, absl::Time Now);
  /// \p Confidence is the odds, to one, against chance as the cause, from which
  /// a difference counts.
  [[nodiscard]] Verdict judge(absl::Time Now,
                              double Confidence = DefaultConfidence) const;

  /// Of a judgement that is repeated several times a second.
  static constexpr double DefaultConfidence = 10'000;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_VERSIONJUDGE_H
