#ifndef KNAPWEEDLOFT_LINK_TESTPEER_H
#define KNAPWEEDLOFT_LINK_TESTPEER_H

#include "link/LinkError.h"
#include "link/LinkNode.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::link {

/// A LinkNode on 127.0.0.1 that records what its hooks are told.
class TestPeer {
public:
  struct Down {
    PeerHandle m_Link;
    LinkEnd m_Reason;
  };

  static LinkNode::Options optionsFor(std::string Name,
                                      model::Incarnation Life) {
    LinkNode::Options Settings;
    Settings.m_Self = {.m_Name = std::move(Name),
                       .m_Incarnation = Life,
                       .m_Link = {"127.0.0.1", 0},
                       .m_Region = "",
                       .m_DataCenter = "",
                       .m_Service = ""};
    Settings.m_HeartbeatInterval = absl::Milliseconds(20);
    Settings.m_SilentAfter = absl::Milliseconds(500);
    return Settings;
  }

  TestPeer(std::string Name, model::Incarnation Life)
      : TestPeer(optionsFor(std::move(Name), Life)) {}

  explicit TestPeer(LinkNode::Options Settings)
      : m_Node(withHooks(std::move(Settings))) {}

  /// Waits for \p Count links in all. \returns the last one's member.
  model::Member waitUp(std::size_t Count) {
    absl::MutexLock Lock(&m_Mutex);
    await([&] { return m_Ups.size() >= Count; });
    return m_Ups.back().second;
  }

  /// \returns the link that came up as number \p Index.
  PeerHandle link(std::size_t Index = 0) {
    absl::MutexLock Lock(&m_Mutex);
    return m_Ups.at(Index).first;
  }

  Down waitDown(std::size_t Count = 1) {
    absl::MutexLock Lock(&m_Mutex);
    await([&] { return m_Downs.size() >= Count; });
    return m_Downs[Count - 1];
  }

  LinkEnd waitConnectFailed() {
    absl::MutexLock Lock(&m_Mutex);
    await([&] { return !m_Failures.empty(); });
    return m_Failures.back();
  }

  std::vector<std::uint64_t> waitForwards(std::size_t Count) {
    absl::MutexLock Lock(&m_Mutex);
    await([&] { return m_Forwards.size() >= Count; });
    return m_Forwards;
  }

  wire::HeartbeatT waitHeartbeats(std::size_t Count) {
    absl::MutexLock Lock(&m_Mutex);
    await([&] { return m_Beats.size() >= Count; });
    return m_Beats.back();
  }

  /// Waits for heartbeat number \p Index that was handed on.
  wire::HeartbeatT waitHeartbeat(std::size_t Index) {
    absl::MutexLock Lock(&m_Mutex);
    await([&] { return m_Beats.size() > Index; });
    return m_Beats[Index];
  }

  bool sendForward(std::uint64_t Sequence, std::size_t BodyBytes) {
    wire::ForwardT Forward;
    Forward.id = wire::ForwardId(1, Sequence);
    Forward.body.assign(BodyBytes, 'x');
    return m_Node.send(link(), std::move(Forward));
  }

private:
  /// Only ends a test that would hang.
  static constexpr absl::Duration Patience = absl::Seconds(30);

  template <typename ConditionT> void await(ConditionT Condition) {
    if (!m_Mutex.AwaitWithTimeout(absl::Condition(&Condition), Patience))
      throw LinkError("what the test waits for did not come");
  }

  LinkNode::Options withHooks(LinkNode::Options Settings) {
    Settings.m_Hooks.m_OnUp = [this](PeerHandle Link,
                                     const model::Member &Peer) {
      absl::MutexLock Lock(&m_Mutex);
      m_Ups.emplace_back(Link, Peer);
    };
    Settings.m_Hooks.m_OnDown = [this](PeerHandle Link, LinkEnd Reason) {
      absl::MutexLock Lock(&m_Mutex);
      m_Downs.push_back({Link, Reason});
    };
    Settings.m_Hooks.m_OnConnectFailed = [this](const model::Endpoint &,
                                                LinkEnd Reason) {
      absl::MutexLock Lock(&m_Mutex);
      m_Failures.push_back(Reason);
    };
    Settings.m_Hooks.m_OnMessage = [this](PeerHandle,
                                          wire::MessageUnion &Message) {
      absl::MutexLock Lock(&m_Mutex);
      if (Message.AsForward())
        m_Forwards.push_back(Message.AsForward()->id.sequence());
      if (Message.AsHeartbeat())
        m_Beats.push_back(*Message.AsHeartbeat());
    };
    Settings.m_Hooks.m_FillHeartbeat = [](wire::HeartbeatT &Beat) {
      Beat.applied_offset = 7;
    };
    return Settings;
  }

  absl::Mutex m_Mutex;
  std::vector<std::pair<PeerHandle, model::Member>> m_Ups;
  std::vector<Down> m_Downs;
  std::vector<LinkEnd> m_Failures;
  std::vector<std::uint64_t> m_Forwards;
  std::vector<wire::HeartbeatT> m_Beats;

public:
  LinkNode m_Node; ///< Last, so that its hooks end first.
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_TESTPEER_H
