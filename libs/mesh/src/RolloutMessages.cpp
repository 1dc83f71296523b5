#include "mesh/RolloutMessages.h"

#include <algorithm>
#include <memory>

namespace knapweedloft::mesh {

namespace wire = link::wire;

wire::RolloutSampleT toWire(const policy::RolloutSample &Sample,
                            const RolloutOrderId &Order) {
  wire::RolloutSampleT Message;
  Message.order_era = Order.m_Era;
  Message.order_offset = Order.m_Offset;
  Message.instance = Sample.m_Instance;
  Message.version = Sample.m_Version;
  Message.is_open = Sample.m_IsOpen;
  Message.is_cold = Sample.m_IsCold;
  Message.slots = static_cast<float>(Sample.m_Slots);
  Message.running = Sample.m_Running;
  Message.arrivals = Sample.m_Arrivals;
  Message.overdue = Sample.m_Overdue;
  for (const policy::RouteCounts &Counts : Sample.m_Routes) {
    auto Route = std::make_unique<wire::RouteCountsT>();
    Route->route = Counts.m_Route;
    Route->answers = Counts.m_Answers;
    Route->failures = Counts.m_Failures;
    // The last buckets are mostly empty.
    auto End = Counts.m_Latencies.end();
    while (End != Counts.m_Latencies.begin() && *(End - 1) == 0)
      --End;
    Route->latencies.assign(Counts.m_Latencies.begin(), End);
    Message.routes.push_back(std::move(Route));
  }
  return Message;
}

policy::RolloutSample fromWire(const wire::RolloutSampleT &Message,
                               const model::Member &From) {
  policy::RolloutSample Sample;
  Sample.m_Daemon = From.m_Name;
  Sample.m_Incarnation = From.m_Incarnation;
  Sample.m_Instance = Message.instance;
  Sample.m_Version = Message.version;
  Sample.m_IsOpen = Message.is_open;
  Sample.m_IsCold = Message.is_cold;
  Sample.m_Slots = Message.slots;
  Sample.m_Running = Message.running;
  Sample.m_Arrivals = Message.arrivals;
  Sample.m_Overdue = Message.overdue;
  for (const auto &Route : Message.routes) {
    policy::RouteCounts &Counts = Sample.m_Routes.emplace_back();
    Counts.m_Route = Route->route;
    Counts.m_Answers = Route->answers;
    Counts.m_Failures = Route->failures;
    std::size_t Buckets =
        std::min(Route->latencies.size(), Counts.m_Latencies.size());
    std::copy_n(Route->latencies.begin(), Buckets, Counts.m_Latencies.begin());
  }
  return Sample;
}

} // namespace knapweedloft::mesh
