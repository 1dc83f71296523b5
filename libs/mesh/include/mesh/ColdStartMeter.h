#ifndef KNAPWEEDLOFT_MESH_COLDSTARTMETER_H
#define KNAPWEEDLOFT_MESH_COLDSTARTMETER_H

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace knapweedloft::mesh {

/// Counts the requests that a target gets while it says that it is cold,
/// whether or not they were paced. Not thread-safe.
class ColdStartMeter {
public:
  /// What a target got in one cold time.
  struct Figures {
    absl::Duration m_Lasted;
    std::uint64_t m_Starts = 0;
    std::uint64_t m_MostInOneSecond = 0;
  };

  /// The target has said that it is cold until \p Until.
  void onCold(absl::Time Until, absl::Time Now);
  void onStart(absl::Time Now);
  /// \returns the figures of a cold time that has ended since the last call.
  [[nodiscard]] std::optional<Figures> takeEnded(absl::Time Now);

  /// \returns the starts in all cold times.
  [[nodiscard]] std::uint64_t starts() const { return m_Starts; }
  /// \returns the most starts in any second of a cold time.
  [[nodiscard]] std::uint64_t mostInOneSecond() const {
    return m_MostInOneSecond;
  }

private:
  absl::Time m_Since;
  absl::Time m_Until = absl::InfinitePast();
  bool m_IsCold = false;
  Figures m_Present;
  std::deque<absl::Time> m_LastSecond;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_MostInOneSecond = 0;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_COLDSTARTMETER_H
