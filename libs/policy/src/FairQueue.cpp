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
  auto Priority = m_Settings.m_UsePriorities
                      ? static_cast<std::uint32_t>(Request.m_Priority)
                      : 0;
  FlowId Flow = Customer * model::PriorityCount + Priority;
  if (Flow >= m_Flows.size()) {
    m_Flows.resize((Customer + 1) * model::PriorityCount);
    for (Band &Each : m_Bands) {
      Each.m_Active.reserve(Customer + 1);
      Each.m_Heap.reserve(Customer + 1);
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
  // The finish time only grows, so the entry can only move down.
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
  setEntry(Own, Index, Last);
  siftUp(Own, Index);
  siftDown(Own, m_Flows[Last.m_Flow].m_HeapIndex);
}

void FairQueue::setEntry(Band &Own, std::uint32_t Index, const Entry &Value) {
  Own.m_Heap[Index] = Value;
  m_Flows[Value.m_Flow].m_HeapIndex = Index;
}

void FairQueue::siftUp(Band &Own, std::uint32_t Index) {
  Entry Moved = Own.m_Heap[Index];
  while (Index > 0) {
    std::uint32_t Parent = (Index - 1) / 2;
    if (Own.m_Heap[Parent].m_Finish <= Moved.m_Finish)
      break;
    setEntry(Own, Index, Own.m_Heap[Parent]);
    Index = Parent;
  }
  setEntry(Own, Index, Moved);
}

void FairQueue::siftDown(Band &Own, std::uint32_t Index) {
  Entry Moved = Own.m_Heap[Index];
  for (;;) {
    std::uint32_t Child = 2 * Index + 1;
    if (Child >= Own.m_Heap.size())
      break;
    if (Child + 1 < Own.m_Heap.size() &&
        Own.m_Heap[Child + 1].m_Finish < Own.m_Heap[Child].m_Finish)
      ++Child;
    if (Own.m_Heap[Child].m_Finish >= Moved.m_Finish)
      break;
    setEntry(Own, Index, Own.m_Heap[Child]);
    Index = Child;
  }
  setEntry(Own, Index, Moved);
}

void FairQueue::accountUnqueued(const Ticket &Request) {
  FlowId Flow = flowOf(Request);
  m_Flows[Flow].m_Weight = Request.m_Weight;
  account(Flow);
}

std::optional<FairQueue::Position> FairQueue::push(const Ticket &Request,
                                                   absl::Time Now) {
  if (m_Free.empty())
    return std::nullopt;
  FlowId Flow = flowOf(Request);
  Position At = m_Free.back();
  m_Free.pop_back();
  struct Flow &Owner = m_Flows[Flow];
  Owner.m_Weight = Request.m_Weight;
  m_Nodes[At] = {{Request, Now}, Flow, None, Owner.m_Tail};
  if (Owner.m_Tail == None)
    Owner.m_Head = At;
  else
    m_Nodes[Owner.m_Tail].m_Next = At;
  Owner.m_Tail = At;
  if (Owner.m_Length++ == 0)
    activate(Flow);
  ++m_Size;
  return At;
}

std::optional<FairQueue::Position> FairQueue::front() const {
  for (const Band &Each : m_Bands) {
    if (!Each.m_Heap.empty())
      return m_Flows[Each.m_Heap.front().m_Flow].m_Head;
  }
  return std::nullopt;
}

std::optional<FairQueue::Position>
FairQueue::evictionCandidate(const Ticket &Request) {
  FlowId Own = flowOf(Request);
  for (std::size_t Index = m_Bands.size(); Index-- > bandOf(Own);) {
    const Band &Each = m_Bands[Index];
    if (Each.m_Active.empty())
      continue;
    auto Excess = [this](FlowId Flow) {
      return static_cast<float>(m_Flows[Flow].m_Length) /
             m_Flows[Flow].m_Weight;
    };
    FlowId Longest = Each.m_Active.front();
    for (FlowId Flow : Each.m_Active)
      if (Excess(Flow) > Excess(Longest))
        Longest = Flow;
    if (Longest == Own)
      return std::nullopt;
    return m_Flows[Longest].m_Tail;
  }
  return std::nullopt;
}

void FairQueue::serve(Position At) {
  account(m_Nodes[At].m_Flow);
  unlink(At);
}

void FairQueue::remove(Position At) { unlink(At); }

void FairQueue::unlink(Position At) {
  Node &Removed = m_Nodes[At];
  struct Flow &Owner = m_Flows[Removed.m_Flow];
  if (Removed.m_Previous == None)
    Owner.m_Head = Removed.m_Next;
  else
    m_Nodes[Removed.m_Previous].m_Next = Removed.m_Next;
  if (Removed.m_Next == None)
    Owner.m_Tail = Removed.m_Previous;
  else
    m_Nodes[Removed.m_Next].m_Previous = Removed.m_Previous;
  if (--Owner.m_Length == 0)
    deactivate(Removed.m_Flow);
  m_Free.push_back(At);
  --m_Size;
}

std::optional<FairQueue::Position> FairQueue::headOf(FlowId Flow) const {
  if (m_Flows[Flow].m_Head == None)
    return std::nullopt;
  return m_Flows[Flow].m_Head;
}

const std::vector<FlowId> &
FairQueue::activeFlows(model::Priority Priority) const {
  return m_Bands[static_cast<std::size_t>(Priority)].m_Active;
}

} // namespace knapweedloft::policy
