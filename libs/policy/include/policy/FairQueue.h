#ifndef KNAPWEEDLOFT_POLICY_FAIRQUEUE_H
#define KNAPWEEDLOFT_POLICY_FAIRQUEUE_H

#include "model/Priority.h"
#include "policy/Ticket.h"

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// The tickets of one customer and priority.
using FlowId = std::uint32_t;

/// Queue of the tickets that wait for a slot: by strict priority, within a
/// priority fair between customers by weight (start-time fair queueing, Goyal
/// et al., SIGCOMM 1996), within a customer FIFO.
///
/// Has a fixed capacity and allocates only when a customer is seen for the
/// first time. Not thread-safe.
class FairQueue {
public:
  struct Options {
    std::size_t m_Capacity = 4096;
    bool m_IsFair = true;        ///< Else all customers share one flow.
    bool m_UsePriorities = true; ///< Else there is one priority.
  };

  /// Position of a queued ticket; valid until the ticket is removed.
  using Position = std::uint32_t;

  struct Item {
    Ticket m_Ticket;
    absl::Time m_Since;
  };

  explicit FairQueue(const Options &Settings);

  [[nodiscard]] FlowId flowOf(const Ticket &Request);

  /// Accounts for a ticket that runs without having been queued.
  void accountUnqueued(const Ticket &Request);

  /// \returns nothing if the queue is full.
  [[nodiscard]] std::optional<Position> push(const Ticket &Request,
                                             absl::Time Now);

  /// \returns the position of the ticket to serve next.
  [[nodiscard]] std::optional<Position> front() const;

  /// \returns the position of the ticket to evict in favor of \p Request when
  /// the queue is full; nothing if \p Request itself is to be dropped.
  [[nodiscard]] std::optional<Position>
  evictionCandidate(const Ticket &Request);

  /// Removes the front ticket and accounts for it as served.
  void serve(Position At);

  /// Removes a ticket that is not served.
  void remove(Position At);

  [[nodiscard]] const Item &at(Position At) const { return m_Nodes[At].m_Item; }
  [[nodiscard]] std::size_t size() const { return m_Size; }
  [[nodiscard]] std::size_t flowCount() const { return m_Flows.size(); }
  [[nodiscard]] std::uint32_t lengthOf(FlowId Flow) const {
    return m_Flows[Flow].m_Length;
  }
  /// \returns the oldest ticket of a flow.
  [[nodiscard]] std::optional<Position> headOf(FlowId Flow) const;
  /// \returns the flows with queued tickets at \p Priority.
  [[nodiscard]] const std::vector<FlowId> &
  activeFlows(model::Priority Priority) const;

private:
  static constexpr std::uint32_t None = UINT32_MAX;

  struct Node {
    Item m_Item;
    FlowId m_Flow = 0;
    std::uint32_t m_Next = None;
    std::uint32_t m_Previous = None;
  };

  struct Flow {
    std::uint32_t m_Head = None;
    std::uint32_t m_Tail = None;
    std::uint32_t m_Length = 0;
    float m_Weight = 1;
    double m_Finish = 0; ///< Virtual finish time of its last ticket served.
    std::uint32_t m_ActiveIndex = None; ///< In Band::m_Active.
    std::uint32_t m_HeapIndex = None;   ///< In Band::m_Heap.
  };

  /// An entry in the heap of a band.
  struct Entry {
    double m_Finish = 0;
    FlowId m_Flow = 0;
  };

  /// The flows of one priority. The flow to serve next is the one with the
  /// minimum start time, which is the later of the band's virtual time and the
  /// flow's finish time; among flows that start at the virtual time, the one
  /// with the minimum finish time goes first. This is the order by finish time
  /// alone, so the flows with queued tickets form a heap ordered by it.
  struct Band {
    double m_VirtualTime = 0;
    std::vector<FlowId> m_Active;
    std::vector<Entry> m_Heap;
  };

  [[nodiscard]] std::size_t bandOf(FlowId Flow) const {
    return Flow % model::PriorityCount;
  }
  [[nodiscard]] double startOf(FlowId Flow) const;
  void account(FlowId Flow);
  void activate(FlowId Flow);
  void deactivate(FlowId Flow);
  void setEntry(Band &Own, std::uint32_t Index, const Entry &Value);
  void siftUp(Band &Own, std::uint32_t Index);
  void siftDown(Band &Own, std::uint32_t Index);
  void unlink(Position At);

  Options m_Settings;
  std::vector<Node> m_Nodes;
  std::vector<std::uint32_t> m_Free;
  std::vector<Flow> m_Flows;
  std::array<Band, model::PriorityCount> m_Bands;
  std::size_t m_Size = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FAIRQUEUE_H
