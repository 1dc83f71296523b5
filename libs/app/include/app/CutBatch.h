#ifndef KNAPWEEDLOFT_APP_CUTBATCH_H
#define KNAPWEEDLOFT_APP_CUTBATCH_H

#include "link/LinkNode.h"
#include "model/ForwardId.h"
#include "model/Quarantine.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace knapweedloft::app {

/// Runs whose connections broke about the same time. Their answers are held
/// until it is known whether the target died, and its peers know the suspects:
/// a caller can send again only what it has an answer to.
struct CutBatch {
  struct Cut {
    model::ForwardId m_Id;
    link::PeerHandle m_From;
    model::Fingerprint m_Fingerprint = 0;
    std::uint16_t m_AttemptsLeft = 0;
  };

  std::vector<Cut> m_Cuts;
  absl::Time m_Since;
  bool m_IsTargetAlive = false; ///< A run from before it succeeded after it.
  bool m_IsTold = false;        ///< Judged; the peers are being told.
  std::uint64_t m_Sequence = 0; ///< Of what they were told.
  std::size_t m_AwaitedAcks = 0;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_CUTBATCH_H
