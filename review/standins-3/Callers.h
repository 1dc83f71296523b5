#ifndef KNAPWEEDLOFT_REVIEW3_CALLERS_H
#define KNAPWEEDLOFT_REVIEW3_CALLERS_H

#include "Site.h"

#include <atomic>
#include <cstddef>
#include <string>

namespace knapweedloft::review3 {

/// What callers have seen.
struct CallerCounts {
  std::atomic<unsigned> m_Uploads{0};
  std::atomic<unsigned> m_UploadsServed{0};
  std::atomic<unsigned> m_UploadsRefused{0};
  std::atomic<unsigned> m_UploadsUnknown{0};
  std::atomic<unsigned> m_Reads{0};
  /// Requests of kept connections that were passed on to a sound upstream and
  /// whose connection was closed without an answer.
  std::atomic<unsigned> m_Cut{0};
  std::atomic<bool> m_IsStopping{false};

  [[nodiscard]] std::string summary() const;
};

/// Sends one upload on a connection of its own and waits for its answer.
void upload(const Daemon &Entry, const std::string &Service,
            const std::string &Id, std::size_t Bytes, int DeadlineMs,
            CallerCounts &All, Record &Log);

/// Reads from \p Service again and again on a kept connection, until the
/// counts say that it is enough.
void readOften(Site &Deployment, const Daemon &Entry,
               const std::string &Service, const std::string &Name,
               CallerCounts &All, Record &Log);

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_CALLERS_H
