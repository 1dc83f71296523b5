#ifndef KNAPWEEDLOFT_APP_WATCHERS_H
#define KNAPWEEDLOFT_APP_WATCHERS_H

#include "ApiRequest.h"
#include "app/ResourceApi.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace knapweedloft::app {

/// Long polls for changes of resources. Thread-safe.
class Watchers {
public:
  struct Watcher {
    model::LogOffset m_From = 0; ///< Revision of the last change known.
    std::optional<model::ResourceKind> m_Kind;
    absl::Time m_Deadline;
    ResourceApi::Reply m_Reply;
  };

  /// \p Replica must outlive this.
  Watchers(const state::StateReplica &Replica, std::size_t MaxWatchers)
      : m_Replica(Replica), m_MaxWatchers(MaxWatchers) {}

  /// Answers at once if there are changes.
  /// \throws ApiError with status 503 if there are too many watchers, and 410
  /// if the changes from there on are no longer known.
  void add(Watcher Who);

  /// Answers those for whom there are changes or whose deadline has passed.
  void review(absl::Time Now);

  /// Answers everyone.
  void abandon() { review(absl::InfiniteFuture()); }

  [[nodiscard]] absl::Time nextDeadline();

private:
  /// \returns the answer if there are changes, or \p IsDue; moves m_From past
  /// records that change no resource.
  [[nodiscard]] std::optional<http::HttpResponse> answerFor(Watcher &Who,
                                                            bool IsDue) const;

  const state::StateReplica &m_Replica;
  const std::size_t m_MaxWatchers;
  absl::Mutex m_Mutex;
  std::vector<Watcher> m_Watchers ABSL_GUARDED_BY(m_Mutex);
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_WATCHERS_H
