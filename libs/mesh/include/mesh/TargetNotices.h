#ifndef KNAPWEEDLOFT_MESH_TARGETNOTICES_H
#define KNAPWEEDLOFT_MESH_TARGETNOTICES_H

#include "link/generated/link_generated.h"
#include "mesh/PeerTarget.h"
#include "mesh/TargetNotice.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <memory>
#include <string>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The notices of targets that an entry side has passed on to callers.
///
/// The daemon beside a target enforces its notice and forgets it with a
/// restart. The entry sides then remind it with the next request. Not
/// thread-safe.
///
/// \code
///   Notices.onAnswer(Daemon, Answer, Now);
///   Message.notice = Notices.messageFor(Target, Now); // with each forward
/// \endcode
class TargetNotices {
public:
  /// An answer came from \p Daemon. \returns whether the target was not known
  /// before to leave.
  bool onAnswer(const model::Member &Daemon, const wire::AnswerT &Answer,
                absl::Time Now);

  /// \returns whether \p Target has said that it leaves.
  [[nodiscard]] bool isLeaving(const PeerTarget &Target) const;

  /// \returns the notice that is known of \p Target; null: none.
  [[nodiscard]] std::unique_ptr<wire::TargetNoticeT>
  messageFor(const PeerTarget &Target, absl::Time Now) const;

  [[nodiscard]] std::size_t size() const { return m_ByDaemon.size(); }

private:
  [[nodiscard]] const TargetNotice *find(const PeerTarget &Target) const;

  absl::flat_hash_map<std::string, TargetNotice> m_ByDaemon;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETNOTICES_H
