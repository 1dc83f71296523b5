#include "telemetry/EventLog.h"

#include "benchmark/benchmark.h"

#include <cstdint>
#include <string>

namespace knapweedloft::telemetry {
namespace {

/// The lines that a served request leaves over both sides, as EntryPath and
/// TargetPath write them, with the part of a flush that falls to each.
/// \p Room is the budget of bytes a second, so that 0 shows dropped lines.
void logServedRequest(benchmark::State &State, std::size_t Room) {
  EventLog Log({.m_BytesPerSecond = Room,
                .m_RoutineShare = 1,
                .m_Sink = [](std::string_view Text) { return Text.size(); }});
  std::string Id = "9c41d07be2a35f68";
  absl::Time Wall = absl::FromUnixSeconds(1'800'000'000);
  std::uint64_t Count = 0;
  for (auto _ : State) {
    // 350 requests a second, a flush each 20 ms.
    Wall += absl::Microseconds(2857);
    if (Log.accepts(Importance::Routine, Wall))
      Log.write(Importance::Routine, "target", "Ran.", Wall,
                {{"id", Id},
                 {"status", 200},
                 {"instance", "i-7f3a91c2"},
                 {"rank", 3},
                 {"waited", absl::Microseconds(120)},
                 {"took", absl::Milliseconds(31)}});
    if (Log.accepts(Importance::Routine, Wall))
      Log.write(Importance::Routine, "entry", "Answered.", Wall,
                {{"id", Id},
                 {"status", 200},
                 {"route", "price-read"},
                 {"target", "vm-12"},
                 {"took", absl::Milliseconds(32)}});
    if (++Count % 7 == 0)
      Log.flush(Wall);
  }
}

void servedRequest(benchmark::State &State) {
  logServedRequest(State, 1 << 30);
}
void servedRequestPastTheBudget(benchmark::State &State) {
  logServedRequest(State, 1);
}

BENCHMARK(servedRequest);
BENCHMARK(servedRequestPastTheBudget);

} // namespace
} // namespace knapweedloft::telemetry
