#ifndef KNAPWEEDLOFT_MESH_TARGETLOADREPORTS_H
#define KNAPWEEDLOFT_MESH_TARGETLOADREPORTS_H

#include "mesh/ComponentLog.h"
#include "policy/PaceFilter.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft::mesh {

/// Takes what the local target says of its load in its answers: its slots and
/// its pace. What cannot be true is left out, logged at most once a second and
/// counted; so is a pace that stands still or that runs contradict. Not
/// thread-safe.
///
/// \code
///   if (auto Slots = Reports.onReport(Text, Instance, Now))
///     Scheduler.setSlots(*Slots);
///   absl::Duration Usual = Reports.onRun(Class, Latency, Start, Now);
/// \endcode
class TargetLoadReports {
public:
  struct Counts {
    std::uint64_t m_Reports = 0;
    std::uint64_t m_BadSlots = 0;
    std::uint64_t m_BadPaces = 0;
    /// Times that the pace came to be left out, by policy::PaceFilter::Trust.
    std::uint64_t m_Frozen = 0;
    std::uint64_t m_Contradicted = 0;
  };

  explicit TargetLoadReports(ComponentLog Log) : m_Log(Log) {}

  /// \returns the slots that the target names.
  std::optional<std::uint32_t> onReport(const std::string &Text,
                                        const std::string &Instance,
                                        absl::Time Now);
  /// Another instance has taken the target's place.
  void forget() { m_Filter = policy::PaceFilter(); }

  /// See policy::PaceFilter.
  [[nodiscard]] absl::Duration clock(absl::Time Now) const {
    return m_Filter.clock(Now);
  }
  absl::Duration onRun(std::uint32_t Class, absl::Duration Latency,
                       absl::Duration Start, absl::Time Now) {
    return m_Filter.onRun(Class, Latency, Start, Now);
  }
  /// \returns the factor of work that is done \p Ahead of now.
  [[nodiscard]] double pace(absl::Duration Ahead, absl::Time Now) const {
    return m_Filter.pace(Ahead, Now);
  }
  /// \returns the pace in percent as peers are told; 0: the target names none.
  [[nodiscard]] std::uint16_t pacePercent(absl::Time Now) const;

  [[nodiscard]] const policy::PaceFilter &filter() const { return m_Filter; }
  [[nodiscard]] const Counts &counts() const { return m_Counts; }

private:
  void noteTrust(const std::string &Text, const std::string &Instance,
                 absl::Time Now);
  void log(const char *Sentence, const std::string &Text,
           const std::string &Instance, absl::Time Now);

  ComponentLog m_Log;
  policy::PaceFilter m_Filter;
  policy::PaceFilter::Trust m_Trust = policy::PaceFilter::Trust::Unnamed;
  absl::Time m_NextLog = absl::InfinitePast();
  Counts m_Counts;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETLOADREPORTS_H
