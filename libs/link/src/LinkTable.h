#ifndef KNAPWEEDLOFT_LINK_LINKTABLE_H
#define KNAPWEEDLOFT_LINK_LINKTABLE_H

#include "SendQueue.h"
#include "link/LinkNode.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <utility>

namespace knapweedloft::link {

/// The send queues of the links that are up, for any thread.
class LinkTable {
public:
  void insert(PeerHandle Link, std::shared_ptr<SendQueue> Queue) {
    absl::WriterMutexLock Lock(&m_Mutex);
    m_Queues[Link] = std::move(Queue);
  }

  void erase(PeerHandle Link) {
    absl::WriterMutexLock Lock(&m_Mutex);
    m_Queues.erase(Link);
  }

  /// \returns null if \p Link is not up.
  [[nodiscard]] std::shared_ptr<SendQueue> find(PeerHandle Link) const {
    absl::ReaderMutexLock Lock(&m_Mutex);
    auto Found = m_Queues.find(Link);
    return Found == m_Queues.end() ? nullptr : Found->second;
  }

private:
  mutable absl::Mutex m_Mutex;
  absl::flat_hash_map<PeerHandle, std::shared_ptr<SendQueue>>
      m_Queues ABSL_GUARDED_BY(m_Mutex);
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_LINKTABLE_H
