#include "policy/FairQueue.h"

#include <algorithm>

namespace knapweedloft::policy {

FairQueue::FairQueue(const Options &Settings)
    : m_Settings(Settings), m_Nodes(Settings.m_Capacity) {
  m_Free.reserve(Settings.m_Capacity);
  for (std::size_t Left = Settings.m_Capacity; Left > 0; --Left)
    m_Free.push_back(static_cast<std::uint32_t>(Left - 1));
}

FlowId FairQueue::flowOf(const Ticket &Request) {
  std::uint32_t Customer = m_Settings.m_IsFair ? Request.m_Customer : 0;
  auto Importance = m_Settings.m_UsePriorities
                        ? static_cast<std::uint32_t>(Request.m_Priority)
                        : 0;
  FlowId Flow = Customer * model::PriorityCount + Importance;
  if (Flow >= m_Flows.size()) {
    m_Flows.resize((Customer + 1) * model::PriorityCount);
    for (Band &One : m_Bands) {
      One.m_Active.reserve(Customer + 1);
      One.m_Heap.reserve(Customer + 1);
    }
  }
  return Flow;
}

double FairQueue::startOf(FlowId Flow) const {
  return std::max(m_Bands[bandOf(Flow)].m_VirtualTime, m_Flows[Flow].m_Finish);
}

void FairQueue::account(FlowId Flow) {
  double Start = startOf(Flow);
  m_Bands[bandOf(Flow)].m_VirtualTime = Start;
  m_Flows[Flow].m_Finish =
      Start + 1 / static_cast<double>(m_Flows[Flow].m_Weight);
  std::uint32_t Index = m_Flows[Flow].m_HeapIndex;
  if (Index == None)
    return;
  // The finish never falls.
  Band &Own = m_Bands[bandOf(Flow)];
  Own.m_Heap[Index].m_Finish = m_Flows[Flow].m_Finish;
  siftDown(Own, Index);
}

void FairQueue::activate(FlowId Flow) {
  Band &Own = m_Bands[bandOf(Flow)];
  m_Flows[Flow].m_ActiveIndex = static_cast<std::uint32_t>(Own.m_Active.size());
  Own.m_Active.push_back(Flow);
  Own.m_Heap.push_back({m_Flows[Flow].m_Finish, Flow});
  siftUp(Own, static_cast<std::uint32_t>(Own.m_Heap.size() - 1));
}

void FairQueue::deactivate(FlowId Flow) {
  Band &Own = m_Bands[bandOf(Flow)];
  std::uint32_t Index = m_Flows[Flow].m_ActiveIndex;
  Own.m_Active[Index] = Own.m_Active.back();
  m_Flows[Own.m_Active[Index]].m_ActiveIndex = Index;
  Own.m_Active.pop_back();
  m_Flows[Flow].m_ActiveIndex = None;

  Index = m_Flows[Flow].m_HeapIndex;
  Entry Last = Own.m_Heap.back();
  Own.m_Heap.pop_back();
  m_Flows[Flow].m_HeapIndex = None;
  if (Last.m_Flow == Flow)
    return;
  place(Own, Index, Last);
  siftUp(Own, Index);
  siftDown(Own, m_Flows[Last.m_Flow].m_HeapIndex);
}

void FairQueue::place(Band &Own, std::uint32_t Index, const Entry &What) {
  Own.m_Heap[Index] = What;
  m_Flows[What.m_Flow].m_HeapIndex = Index;
}

void FairQueue::siftUp(Band &Own, std::uint32_t Index) {
  Entry Moved = Own.m_Heap[Index];
  while (Index > 0) {
    std::uint32_t Above = (Index - 1) / 2;
    if (Own.m_Heap[Above].m_Finish <= Moved.m_Finish)
      break;
    place(Own, Index, Own.m_Heap[Above]);
    Index = Above;
  }
  place(Own, Index, Moved);
}

void FairQueue::siftDown(Band &Own, std::uint32_t Index) {
  Entry Moved = Own.m_Heap[Index];
  for (;;) {
    std::uint32_t Below = 2 * Index + 1;
    if (Below >= Own.m_Heap.size())
      break;
    if (Below + 1 < Own.m_Heap.size() &&
        Own.m_Heap[Below + 1].m_Finish < Own.m_Heap[Below].m_Finish)
      ++Below;
    if (Own.m_Heap[Below].m_Finish >= Moved.m_Finish)
      break;
    place(Own, Index, Own.m_Heap[Below]);
    Index = Below;
  }
  place(Own, Index, Moved);
}

void FairQueue::passBy(const Ticket &Request) {
  FlowId Flow = flowOf(Request);
  m_Flows[Flow].m_Weight = Request.m_Weight;
  account(Flow);
}

std::optional<FairQueue::Place> FairQueue::push(const Ticket &Request,
                                                absl::Time Now) {
  if (m_Free.empty())
    return std::nullopt;
  FlowId Flow = flowOf(Request);
  Place Where = m_Free.back();
  m_Free.pop_back();
  struct Flow &Owner = m_Flows[Flow];
  Owner.m_Weight = Request.m_Weight;
  m_Nodes[Where] = {{Request, Now}, Flow, None, Owner.m_Tail};
  if (Owner.m_Tail == None)
    Owner.m_Head = Where;
  else
    m_Nodes[Owner.m_Tail].m_Next = Where;
  Owner.m_Tail = Where;
  if (Owner.m_Length++ == 0)
    activate(Flow);
  ++m_Size;
  return Where;
}

std::optional<FairQueue::Place> FairQueue::front() const {
  for (const Band &One : m_Bands) {
    if (!One.m_Heap.empty())
      return m_Flows[One.m_Heap.front().m_Flow].m_Head;
  }
  return std::nullopt;
}

std::optional<FairQueue::Place> FairQueue::victimFor(const Ticket &Request) {
  FlowId Own = flowOf(Request);
  for (std::size_t Index = m_Bands.size(); Index-- > bandOf(Own);) {
    const Band &One = m_Bands[Index];
    if (One.m_Active.empty())
      continue;
    auto Excess = [this](FlowId Flow) {
      return static_cast<float>(m_Flows[Flow].m_Length) /
             m_Flows[Flow].m_Weight;
    };
    FlowId Longest = One.m_Active.front();
    for (FlowId Flow : One.m_Active)
      if (Excess(Flow) > Excess(Longest))
        Longest = Flow;
    if (Longest == Own)
      return std::nullopt;
    return m_Flows[Longest].m_Tail;
  }
  return std::nullopt;
}

void FairQueue::serve(Place Where) {
  account(m_Nodes[Where].m_Flow);
  unlink(Where);
}

void FairQueue::remove(Place Where) { unlink(Where); }

void FairQueue::unlink(Place Where) {
  Node &Gone = m_Nodes[Where];
  struct Flow &Owner = m_Flows[Gone.m_Flow];
  if (Gone.m_Before == None)
    Owner.m_Head = Gone.m_Next;
  else
    m_Nodes[Gone.m_Before].m_Next = Gone.m_Next;
  if (Gone.m_Next == None)
    Owner.m_Tail = Gone.m_Before;
  else
    m_Nodes[Gone.m_Next].m_Before = Gone.m_Before;
  if (--Owner.m_Length == 0)
    deactivate(Gone.m_Flow);
  m_Free.push_back(Where);
  --m_Size;
}

std::optional<FairQueue::Place> FairQueue::headOf(FlowId Flow) const {
  if (m_Flows[Flow].m_Head == None)
    return std::nullopt;
  return m_Flows[Flow].m_Head;
}

const std::vector<FlowId> &
FairQueue::activeFlows(model::Priority Priority) const {
  return m_Bands[static_cast<std::size_t>(Priority)].m_Active;
}

} // namespace knapweedloft::policy
