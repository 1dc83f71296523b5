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

/// The tickets that wait for a slot: strictly by priority, within a priority
/// fairly between customers by weight (start-time fair queueing, Goyal et al.,
/// SIGCOMM 1996), within a customer first come, first served.
///
/// Holds a fixed number of tickets and allocates only when a customer is seen
/// for the first time. Not thread-safe.
class FairQueue {
public:
  struct Options {
    std::size_t m_Capacity = 4096;
    bool m_IsFair = true;        ///< Else all customers are one.
    bool m_UsePriorities = true; ///< Else all priorities are one.
  };

  /// Place of a waiting ticket; valid until it is taken out.
  using Place = std::uint32_t;

  struct Item {
    Ticket m_Ticket;
    absl::Time m_Since;
  };

  explicit FairQueue(const Options &Settings);

  [[nodiscard]] FlowId flowOf(const Ticket &Request);

  /// Counts a ticket that runs without waiting as served.
  void passBy(const Ticket &Request);

  /// \returns nothing if the queue is full.
  [[nodiscard]] std::optional<Place> push(const Ticket &Request,
                                          absl::Time Now);

  /// \returns the place that is next to be served.
  [[nodiscard]] std::optional<Place> front() const;

  /// \returns the place that is the first to give way to \p Request when the
  /// queue is full; nothing if \p Request itself is.
  [[nodiscard]] std::optional<Place> victimFor(const Ticket &Request);

  /// Takes out the front and counts it as served.
  void serve(Place Where);

  /// Takes out without service.
  void remove(Place Where);

  [[nodiscard]] const Item &at(Place Where) const {
    return m_Nodes[Where].m_Item;
  }
  [[nodiscard]] std::size_t size() const { return m_Size; }
  [[nodiscard]] std::size_t flowCount() const { return m_Flows.size(); }
  [[nodiscard]] std::uint32_t lengthOf(FlowId Flow) const {
    return m_Flows[Flow].m_Length;
  }
  /// \returns the oldest ticket of a flow.
  [[nodiscard]] std::optional<Place> headOf(FlowId Flow) const;
  /// \returns the flows in which tickets wait at \p Priority.
  [[nodiscard]] const std::vector<FlowId> &
  activeFlows(model::Priority Priority) const;

private:
  static constexpr std::uint32_t None = UINT32_MAX;

  struct Node {
    Item m_Item;
    FlowId m_Flow = 0;
    std::uint32_t m_Next = None;
    std::uint32_t m_Before = None;
  };

  struct Flow {
    std::uint32_t m_Head = None;
    std::uint32_t m_Tail = None;
    std::uint32_t m_Length = 0;
    float m_Weight = 1;
    double m_Finish = 0; ///< Virtual time at which its last service ends.
    std::uint32_t m_ActiveIndex = None; ///< In the flows that wait.
    std::uint32_t m_HeapIndex = None;   ///< In the heap of its band.
  };

  /// A place in the heap of a band.
  struct Entry {
    double m_Finish = 0;
    FlowId m_Flow = 0;
  };

  /// The flows of one priority. The flow to serve next is the one of least
  /// start, the later of the band's virtual time and the flow's finish; where
  /// several start at the virtual time, the one of least finish goes first.
  /// That order is the order of the finish alone, so the flows that wait are
  /// a heap by it.
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
  void place(Band &Own, std::uint32_t Index, const Entry &What);
  void siftUp(Band &Own, std::uint32_t Index);
  void siftDown(Band &Own, std::uint32_t Index);
  void unlink(Place Where);

  Options m_Settings;
  std::vector<Node> m_Nodes;
  std::vector<std::uint32_t> m_Free;
  std::vector<Flow> m_Flows;
  std::array<Band, model::PriorityCount> m_Bands;
  std::size_t m_Size = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FAIRQUEUE_H
