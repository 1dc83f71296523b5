#ifndef KNAPWEEDLOFT_POLICY_TRANSFERCOSTS_H
#define KNAPWEEDLOFT_POLICY_TRANSFERCOSTS_H

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>

namespace knapweedloft::policy {

/// Moving averages of what requests to one service cost besides the time at
/// the target side: the time on the way, by data center, and the bytes.
class TransferCosts {
public:
  void onAnswer(const std::string &DataCenter, absl::Duration Way,
                std::size_t Bytes, absl::Time Now);

  /// \returns the time that the way to \p DataCenter takes beyond that to
  /// \p Home. A measure that is not renewed loses weight against \p Assumed,
  /// so that a link that was slow is tried again.
  [[nodiscard]] absl::Duration addedTime(const std::string &DataCenter,
                                         const std::string &Home,
                                         absl::Duration Assumed,
                                         absl::Time Now) const;
  /// \returns the mean bytes of a request and its answer.
  [[nodiscard]] double meanBytes() const { return m_MeanBytes; }

private:
  struct Measure {
    absl::Duration m_Way;
    absl::Time m_At;
  };

  absl::flat_hash_map<std::string, Measure> m_Ways;
  double m_MeanBytes = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TRANSFERCOSTS_H
