#ifndef KNAPWEEDLOFT_FAULTS_WORK_H
#define KNAPWEEDLOFT_FAULTS_WORK_H

#include "model/Ran.h"
#include "model/RefusalReason.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::faults {

/// One step of one request, on its way to a service.
struct Work {
  std::size_t m_Route = 0;
  std::size_t m_Step = 0;
  std::uint32_t m_Customer = 0;
  absl::Time m_Deadline;
  std::uint16_t m_Retries = 0; ///< Left over all hops.
  bool m_IsResend = false;     ///< A hop above retries.
};

/// How a step ended, as told to the hop above or to the caller.
struct Ending {
  bool m_IsSuccess = false;
  model::RefusalReason m_Reason = model::RefusalReason::None;
  model::Ran m_Ran = model::Ran::Unknown;
  bool m_IsDownstreamFailure = false;
  bool m_IsExpired = false;

  [[nodiscard]] bool isRefusal() const {
    return !m_IsSuccess && m_Ran == model::Ran::No;
  }
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_WORK_H
