#ifndef KNAPWEEDLOFT_POLICY_DOWNSTREAMGUARD_H
#define KNAPWEEDLOFT_POLICY_DOWNSTREAMGUARD_H

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Refuses requests of one route at the entry side that would run at the first
/// service and then fail because a downstream service refuses them.
///
/// After each window the admitted share is reduced to the share that succeeded
/// downstream, plus a little headroom to detect a recovery; after windows
/// without refusals it grows, by about half per window if several follow each
/// other. A window with few completed requests reduces it only a little, so
/// that one refusal does not block a customer that seldom sends. Kept per
/// customer, since a downstream service refuses customers above their share
/// first. One instance per route. Not thread-safe.
class DownstreamGuard {
public:
  struct Options {
    bool m_IsEnabled = true;
    absl::Duration m_Window = absl::Milliseconds(200);
    absl::Duration m_RetryAfter = absl::Seconds(1);
  };

  explicit DownstreamGuard(const Options &Settings);

  /// Reports the end of an admitted request. \p IsRefusedDownstream is true if
  /// a service below the first refused it for overload.
  void observe(bool IsRefusedDownstream, absl::Time Now,
               std::uint32_t Customer);

  /// \returns nothing if the request is admitted, else its retry-after.
  [[nodiscard]] std::optional<absl::Duration>
  refuse(absl::Time Now, absl::BitGenRef Random, std::uint32_t Customer);

  /// \returns the admitted share of a customer's requests.
  [[nodiscard]] double admittedShare(std::uint32_t Customer) const;

private:
  struct Entry {
    double m_AdmittedShare = 1;
    double m_Completed = 0;      ///< Requests, in this window.
    double m_Refused = 0;        ///< Of these, refused downstream.
    bool m_HadNoRefusals = true; ///< In the previous window.
    absl::Time m_WindowStart = absl::InfinitePast();
  };

  Entry &at(std::uint32_t Customer, absl::Time Now);
  void closeWindow(Entry &State, absl::Time Now) const;

  Options m_Settings;
  std::vector<Entry> m_Entries;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DOWNSTREAMGUARD_H
