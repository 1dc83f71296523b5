#include "LinkSlopes.h"

#include "ProcessUse.h"
#include "link/LinkNode.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "fmt/format.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::capacity {
namespace {

constexpr absl::Duration Settle = absl::Seconds(5);
constexpr absl::Duration Measured = absl::Seconds(8);

/// A node that sets the pace of each of its links as it comes up.
class PacedNode {
public:
  PacedNode(model::Incarnation Life, link::LinkPace Pace)
      : m_Pace(Pace), m_Node(optionsFor(Life)) {}

  link::LinkNode &node() { return m_Node; }

  void awaitLinks(std::size_t Count) {
    absl::MutexLock Lock(&m_Mutex);
    auto HasAll = [&] { return m_Links.size() >= Count; };
    m_Mutex.Await(absl::Condition(&HasAll));
    for (link::PeerHandle Link : m_Links)
      m_Node.setPace(Link, m_Pace);
  }

private:
  link::LinkNode::Options optionsFor(model::Incarnation Life) {
    link::LinkNode::Options Options;
    Options.m_Self.m_Name = fmt::format("vm-{}", Life);
    Options.m_Self.m_Incarnation = Life;
    Options.m_Self.m_Link = {"127.0.0.1", 0};
    Options.m_Hooks.m_OnUp = [this](link::PeerHandle Link,
                                    const model::Member &) {
      absl::MutexLock Lock(&m_Mutex);
      m_Links.push_back(Link);
    };
    return Options;
  }

  const link::LinkPace m_Pace;
  absl::Mutex m_Mutex;
  std::vector<link::PeerHandle> m_Links;
  link::LinkNode m_Node;
};

} // namespace

LinkCost measureLinks(Sheet &Page, link::LinkPace Pace) {
  std::vector<Sample> Bytes;
  std::vector<Sample> Memory;
  for (std::size_t Count : {10, 20, 40, 80}) {
    PacedNode Hub(1, Pace);
    std::vector<std::unique_ptr<PacedNode>> Spokes;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Spokes.push_back(std::make_unique<PacedNode>(Index + 2, Pace));
    std::size_t MemoryBefore = allocatedBytes();
    for (auto &Spoke : Spokes)
      Spoke->node().connect(Hub.node().endpoint());
    Hub.awaitLinks(Count);
    for (auto &Spoke : Spokes)
      Spoke->awaitLinks(1);
    absl::SleepFor(Settle);
    std::uint64_t BytesBefore = Hub.node().traffic().m_BytesSent;
    absl::SleepFor(Measured);
    auto Sent =
        static_cast<double>(Hub.node().traffic().m_BytesSent - BytesBefore);
    auto Size = static_cast<double>(Count);
    Bytes.push_back({Size, Sent / absl::ToDoubleSeconds(Measured)});
    Memory.push_back(
        {Size, static_cast<double>(allocatedBytes() - MemoryBefore)});
  }
  std::string Name(link::LinkPaceNames.nameOf(Pace));
  return {Page.slope("link.bytes_s." + Name, "links", Bytes),
          Page.slope("link.memory." + Name, "links", Memory)};
}

} // namespace knapweedloft::capacity
