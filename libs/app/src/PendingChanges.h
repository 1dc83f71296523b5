#ifndef KNAPWEEDLOFT_APP_PENDINGCHANGES_H
#define KNAPWEEDLOFT_APP_PENDINGCHANGES_H

#include "ChangeRequest.h"
#include "app/ResourceApi.h"
#include "platform/AppendOutcome.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <vector>

namespace knapweedloft::app {

/// Changes that wait until this daemon has read them back. Thread-safe.
class PendingChanges {
public:
  using Id = std::uint64_t;

  struct Waiting {
    ChangeRequest m_Asked;
    absl::Time m_Deadline;
    ResourceApi::Reply m_Reply;
  };

  /// \p Replica must outlive this.
  explicit PendingChanges(const state::StateReplica &Replica)
      : m_Replica(Replica) {}

  Id add(Waiting Change);

  /// Answers a change whose append is known to have failed; others go on.
  void noteAppend(Id Which, const platform::AppendOutcome &Outcome);

  /// Answers what has been read back and what has passed its deadline.
  void review(absl::Time Now);

  /// Answers everything as cut short by a stop.
  void abandon();

  /// \returns when review() is due at the latest.
  [[nodiscard]] absl::Time nextDeadline();

  /// \returns the answer to \p Asked if it has been settled already.
  [[nodiscard]] std::optional<http::HttpResponse>
  settledAnswer(const ChangeRequest &Asked) const;

private:
  [[nodiscard]] std::optional<Waiting> take(Id Which);

  const state::StateReplica &m_Replica;
  absl::Mutex m_Mutex;
  Id m_Last ABSL_GUARDED_BY(m_Mutex) = 0;
  std::map<Id, Waiting> m_Waiting ABSL_GUARDED_BY(m_Mutex);
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_PENDINGCHANGES_H
