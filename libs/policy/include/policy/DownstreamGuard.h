#ifndef KNAPWEEDLOFT_POLICY_DOWNSTREAMGUARD_H
#define KNAPWEEDLOFT_POLICY_DOWNSTREAMGUARD_H

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Refuses requests of one route at the entry side that would run at the first
/// service and then fail since a service below refuses them.
///
/// In each window the share let through is reduced to what went through below,
/// plus a little to find out when more does; without refusals it grows by half.
/// A window with few ends shuts out little, so that one refusal does not keep
/// out a customer that sends seldom.
/// Kept for each customer, since a service below refuses first those above
/// their share. One instance a route. Not thread-safe.
class DownstreamGuard {
public:
  struct Options {
    bool m_IsEnabled = true;
    absl::Duration m_Window = absl::Milliseconds(200);
    absl::Duration m_RetryAfter = absl::Seconds(1);
  };

  explicit DownstreamGuard(const Options &Settings);

  /// Tells the end of a request that was let through.
  /// \p IsRefusedBelow: a service below the first refused it for overload.
  void observe(bool IsRefusedBelow, absl::Time Now, std::uint32_t Customer);

  /// \returns nothing if the request may go on, else when to come back.
  [[nodiscard]] std::optional<absl::Duration>
  refuse(absl::Time Now, absl::BitGenRef Random, std::uint32_t Customer);

  /// \returns the share of a customer's requests that is let through.
  [[nodiscard]] double passShare(std::uint32_t Customer) const;

private:
  struct Entry {
    double m_Pass = 1;
    double m_Ended = 0;     ///< In this window.
    double m_Refused = 0;   ///< Of them, below.
    bool m_WasClean = true; ///< No refusals in the window before.
    absl::Time m_Since = absl::InfinitePast();
  };

  Entry &at(std::uint32_t Customer, absl::Time Now);
  void closeWindow(Entry &Own, absl::Time Now) const;

  Options m_Settings;
  std::vector<Entry> m_Entries;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DOWNSTREAMGUARD_H
