#ifndef KNAPWEEDLOFT_POLICY_DATACENTERSPILL_H
#define KNAPWEEDLOFT_POLICY_DATACENTERSPILL_H

#include "policy/DataCenterRoom.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Decides at an entry side which requests to one service leave the own data
/// center, and for which other one.
///
/// A share of the requests leaves. It follows the gain: the wait at home less
/// the wait elsewhere, the longer run there, the added time and the price of
/// the bytes, in the caller's time. Free slots at home count as a negative
/// wait, so the share falls as soon as there is room. All entry sides apply the
/// same rule to the same reports, and each to its own requests, so that their
/// number makes no difference. docs/design/leaving-the-data-center.md has the
/// reasons. Not thread-safe.
///
/// \code
///   Spill.update(Home, Others, MeanBytes, Now); // some times a second
///   if (auto Other = Spill.choose({.m_Bytes = 4000}, Random))
///     sendTo(Others[*Other]);
/// \endcode
class DataCenterSpill {
public:
  struct Options {
    /// Time of a caller's wait that a megabyte between data centers is worth.
    absl::Duration m_WaitPerMegabyte = absl::Seconds(1);

    friend bool operator==(const Options &, const Options &) = default;
  };

  struct Request {
    double m_Bytes = 0; ///< Of the request and its answer, as expected.
    /// The work that it is part of has changed the data center before.
    bool m_HasCrossed = false;
  };

  explicit DataCenterSpill(Options Settings) : m_Settings(Settings) {}

  /// Takes in what is known now. \p MeanBytes is the mean over the requests to
  /// the service, with their answers.
  void update(const DataCenterRoom &Home,
              const std::vector<DataCenterRoom> &Others, double MeanBytes,
              absl::Time Now);

  /// \returns the index in the latest \c Others of the data center that the
  /// request is to be sent to, or nothing if it stays.
  [[nodiscard]] std::optional<std::size_t> choose(const Request &Next,
                                                  absl::BitGenRef Random) const;

  /// \returns the share of the requests that leaves.
  [[nodiscard]] double share() const { return m_Share; }
  /// \returns what a request of mean size gains by leaving; negative: loses.
  [[nodiscard]] absl::Duration gain() const { return absl::Seconds(m_Gain); }

private:
  /// \returns the part of the leaving requests for each of \p Others.
  [[nodiscard]] std::vector<double>
  divide(const std::vector<DataCenterRoom> &Others) const;
  [[nodiscard]] double gainOf(const DataCenterRoom &Home,
                              const std::vector<DataCenterRoom> &Others,
                              double MeanBytes) const;
  [[nodiscard]] double priceOf(double Bytes) const;
  /// \returns the most that may leave while the own targets have free slots.
  [[nodiscard]] double mostNeeded(const DataCenterRoom &Home) const;
  void follow(const DataCenterRoom &Home, double Seconds);

  Options m_Settings;
  absl::Time m_UpdatedAt = absl::InfinitePast();
  std::vector<double> m_Parts;
  double m_MeanBytes = 0;
  double m_Gain = 0;   ///< In seconds.
  double m_Steady = 0; ///< The part of the share that the gain has built up.
  double m_Share = 0;
  double m_LaggedShare = 0; ///< That the reported load is due to.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DATACENTERSPILL_H
