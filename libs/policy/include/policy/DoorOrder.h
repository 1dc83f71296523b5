#ifndef KNAPWEEDLOFT_POLICY_DOORORDER_H
#define KNAPWEEDLOFT_POLICY_DOORORDER_H

#include "absl/random/bit_gen_ref.h"

#include <cstdint>
#include <map>

namespace knapweedloft::policy {

/// Chooses which requests an entrance lets in when only a part may pass.
///
/// The most urgent go first, in proportion to what comes of each rank; within
/// a rank those that were turned away before and came back. The edge between
/// ranks is soft and nobody is turned away always, so that no customer and no
/// kind of request starves. Answers a burst with retries, of which only a part
/// can be served: without an order those that came back would lose again as
/// often as the first time. Not thread-safe.
class DoorOrder {
public:
  struct Options {
    double m_Softness = 0.2; ///< Width of the edge, as a part of all requests.
    double m_MostRefused = 0.9;
    double m_Forgetting = 0.998; ///< Of what came, with each request.
  };

  explicit DoorOrder(const Options &Settings) : m_Settings(Settings) {}

  /// Counts a request and \returns whether it passes while the part
  /// \p Admitted may.
  [[nodiscard]] bool pass(std::uint32_t Rank, bool IsReturning, double Admitted,
                          absl::BitGenRef Random);

private:
  Options m_Settings;
  std::map<std::uint32_t, double> m_Seen; ///< Decaying counts by band.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DOORORDER_H
