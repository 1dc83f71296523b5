#ifndef KNAPWEEDLOFT_STATE_IMAGECODEC_H
#define KNAPWEEDLOFT_STATE_IMAGECODEC_H

#include "FoldImpl.h"

#include <string>
#include <string_view>

namespace knapweedloft::state {

/// \returns the parts of a fold as bytes, equal for equal parts.
[[nodiscard]] std::string encodeImage(const Snapshot::Impl &State,
                                      const SettledChanges &Settled,
                                      const RetiredIncarnations &Retired);

/// Fills the empty parts of a fold from an image.
/// \throws StateError if \p Bytes are not an image.
void decodeImage(std::string_view Bytes, Snapshot::Impl &State,
                 SettledChanges &Settled, RetiredIncarnations &Retired);

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_IMAGECODEC_H
