#ifndef KNAPWEEDLOFT_STATE_IMAGESCHEDULE_H
#define KNAPWEEDLOFT_STATE_IMAGESCHEDULE_H

#include "model/LogOffset.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace knapweedloft::state {

/// What a daemon that reads the log knows of the images in it.
struct ImageView {
  model::LogOffset m_First = 0; ///< Oldest record that the log keeps.
  model::LogOffset m_End = 0;   ///< One past the newest record.
  model::LogOffset m_Image = 0; ///< Offset of the newest whole image.
  model::LogOffset m_Part = 0;  ///< Offset of the newest part of an image.
};

/// Decides when this daemon appends an image of the state to the log.
///
/// An image is due when many records have followed the last one, or when the
/// last one would expire before long. Every reader of the log decides for
/// itself: each waits a random time first and holds back while another's image
/// is on its way, so mostly one writes it; two do no harm. Not thread-safe.
///
/// \code
///   if (Schedule.shouldWrite(View, Now, Random))
///     writeImage();
/// \endcode
class ImageSchedule {
public:
  struct Options {
    /// Records after the last image that make another one due.
    std::uint64_t m_MaxRecords = 4096;
    /// Longest wait of a daemon before it writes what is due.
    absl::Duration m_Spread = absl::Seconds(10);
    /// How long another's unfinished image is waited for.
    absl::Duration m_Patience = absl::Seconds(30);
  };

  explicit ImageSchedule(Options Limits) : m_Limits(Limits) {}

  /// \returns whether to write an image now; the caller then does.
  [[nodiscard]] bool shouldWrite(const ImageView &View, absl::Time Now,
                                 absl::BitGenRef Random);

  /// \returns whether \p View calls for an image by anyone.
  [[nodiscard]] bool isDue(const ImageView &View) const;

private:
  void notePart(const ImageView &View, absl::Time Now);

  const Options m_Limits;
  std::optional<absl::Time> m_WriteAt; ///< Set while an image is due.
  model::LogOffset m_LastPart = 0;
  absl::Time m_LastPartAt = absl::InfinitePast();
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_IMAGESCHEDULE_H
