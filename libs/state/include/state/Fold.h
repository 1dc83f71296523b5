#ifndef KNAPWEEDLOFT_STATE_FOLD_H
#define KNAPWEEDLOFT_STATE_FOLD_H

#include "model/LogOffset.h"
#include "state/ChangeOutcome.h"
#include "state/FoldResult.h"
#include "state/Snapshot.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::state {

/// Builds the state from the records of the configuration stream.
///
/// The same records give the same state and the same image on every daemon,
/// whatever image it started from. Sections are copied on write, so a snapshot
/// shares with its predecessor what did not change. Not thread-safe.
///
/// \code
///   Fold State;
///   State.apply(0, encodeRecord(Change));
///   SnapshotPtr Now = State.snapshot();
/// \endcode
class Fold {
public:
  /// Change ids that are remembered; the oldest is forgotten first.
  static constexpr std::size_t RememberedChanges = 4096;
  /// Incarnations that are remembered as departed.
  static constexpr std::size_t RememberedIncarnations = 8192;

  Fold(); ///< The empty state at offset 0.
  ~Fold();
  Fold(Fold &&) noexcept;
  Fold &operator=(Fold &&) noexcept;

  /// Applies the record at \p Offset, which must be offset().
  /// \throws StateError if it is another offset.
  FoldResult apply(model::LogOffset Offset, std::string_view Payload);

  /// Every record before it has been applied.
  [[nodiscard]] model::LogOffset offset() const;

  [[nodiscard]] SnapshotPtr snapshot();

  /// \returns the outcome of a change among the last RememberedChanges.
  [[nodiscard]] std::optional<SettledChange>
  outcomeOf(std::string_view ChangeId) const;

  /// \returns the whole state as bytes; equal for equal offsets.
  [[nodiscard]] std::string image() const;

  /// \throws StateError if \p Bytes are not an image.
  [[nodiscard]] static Fold fromImage(std::string_view Bytes);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// \returns the offset of the state that \p Image holds.
/// \throws StateError if \p Image is not an image.
[[nodiscard]] model::LogOffset offsetOfImage(std::string_view Image);

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_FOLD_H
