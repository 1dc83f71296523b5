#include "Site.h"

#include "state/Fold.h"
#include "state/SnapshotStore.h"
#include "state/StateReplica.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <optional>

namespace knapweedloft::state {
namespace {

std::size_t heapBytes() { return mallinfo2().uordblks; }

SiteSize sizeOf(const benchmark::State &State) {
  return {static_cast<std::size_t>(State.range(0))};
}

Fold foldOf(const SiteSize &Size) {
  Fold Site;
  for (const std::string &Each : siteRecords(Size))
    Site.apply(Site.offset(), Each);
  return Site;
}

void allSizes(benchmark::internal::Benchmark *Bench) {
  for (int Members : {500, 1000, 2000, 5800})
    Bench->Arg(Members);
}

/// A start from the log: every record is folded, one snapshot at the end.
void BM_FoldFromLog(benchmark::State &State) {
  const std::vector<std::string> Records = siteRecords(sizeOf(State));
  for (auto _ : State) {
    Fold Site;
    for (const std::string &Each : Records)
      Site.apply(Site.offset(), Each);
    benchmark::DoNotOptimize(Site.snapshot());
  }
  State.counters["records"] = static_cast<double>(Records.size());
}
BENCHMARK(BM_FoldFromLog)->Apply(allSizes)->Unit(benchmark::kMillisecond);

/// Heap of one whole state as a daemon holds it: the fold and a snapshot.
void BM_HeapOfState(benchmark::State &State) {
  const std::vector<std::string> Records = siteRecords(sizeOf(State));
  double Bytes = 0;
  for (auto _ : State) {
    const std::size_t Before = heapBytes();
    Fold Site;
    for (const std::string &Each : Records)
      Site.apply(Site.offset(), Each);
    const SnapshotPtr Held = Site.snapshot();
    Bytes = static_cast<double>(heapBytes() - Before);
  }
  State.counters["KB"] = Bytes / 1024;
}
BENCHMARK(BM_HeapOfState)->Apply(allSizes)->Iterations(1);

/// Heap that one change adds while the former snapshot is still held.
void BM_HeapOfOneChange(benchmark::State &State) {
  const SiteSize Size = sizeOf(State);
  double Bytes = 0;
  for (auto _ : State) {
    Fold Site = foldOf(Size);
    const SnapshotPtr Former = Site.snapshot();
    const std::size_t Before = heapBytes();
    Site.apply(Site.offset(),
               changeRecord("change", model::Rate{"customer-1", 60, 100}));
    const SnapshotPtr Next = Site.snapshot();
    Bytes = static_cast<double>(heapBytes() - Before);
  }
  State.counters["KB"] = Bytes / 1024;
}
BENCHMARK(BM_HeapOfOneChange)->Apply(allSizes)->Iterations(1);

/// One operator's change, applied and published to readers.
void BM_ApplyAndPublishChange(benchmark::State &State) {
  StateReplica Replica;
  Replica.loadImage(foldOf(sizeOf(State)).image());
  std::vector<std::string> Changes;
  Changes.reserve(1000);
  for (int Index = 0; Index < 1000; ++Index)
    Changes.push_back(changeRecord(
        "change-" + std::to_string(Index),
        model::Rate{"customer-" + std::to_string(Index % 100), 60, 100}));
  std::size_t Index = 0;
  for (auto _ : State)
    Replica.applyRecord(Replica.offset(), Changes[Index++ % Changes.size()]);
}
BENCHMARK(BM_ApplyAndPublishChange)
    ->Apply(allSizes)
    ->Iterations(1000)
    ->Unit(benchmark::kMicrosecond);

/// One member replaced, applied and published to readers.
void BM_ApplyAndPublishJoin(benchmark::State &State) {
  const SiteSize Size = sizeOf(State);
  StateReplica Replica;
  Replica.loadImage(foldOf(Size).image());
  std::vector<std::string> Joins;
  Joins.reserve(1000);
  for (std::size_t Index = 0; Index < 1000; ++Index)
    Joins.push_back(memberRecord(Index % 500, 1000000 + Index, Size));
  std::size_t Index = 0;
  for (auto _ : State)
    Replica.applyRecord(Replica.offset(), Joins[Index++ % Joins.size()]);
}
BENCHMARK(BM_ApplyAndPublishJoin)
    ->Apply(allSizes)
    ->Iterations(1000)
    ->Unit(benchmark::kMicrosecond);

void BM_WriteImage(benchmark::State &State) {
  const Fold Site = foldOf(sizeOf(State));
  std::size_t Bytes = 0;
  for (auto _ : State)
    Bytes = Site.image().size();
  State.counters["KB"] = static_cast<double>(Bytes) / 1024;
}
BENCHMARK(BM_WriteImage)->Apply(allSizes)->Unit(benchmark::kMillisecond);

/// A start from an image, of the log or of a peer.
void BM_LoadImage(benchmark::State &State) {
  const std::string Image = foldOf(sizeOf(State)).image();
  for (auto _ : State)
    benchmark::DoNotOptimize(Fold::fromImage(Image).snapshot());
}
BENCHMARK(BM_LoadImage)->Apply(allSizes)->Unit(benchmark::kMillisecond);

/// Lookups on the path of a request, on a site of the size to come.
class LookupFixture : public benchmark::Fixture {
public:
  void SetUp(const benchmark::State &State) override {
    if (State.thread_index() != 0)
      return;
    m_Store.emplace();
    m_Store->publish(foldOf({}).snapshot());
    m_Digest = digestOf(keyTextOf(7) + "a");
  }
  void TearDown(const benchmark::State &State) override {
    if (State.thread_index() == 0)
      m_Store.reset();
  }

  std::optional<SnapshotStore> m_Store;
  model::KeyDigest m_Digest{};
};

BENCHMARK_DEFINE_F(LookupFixture, BM_ReadGuard)(benchmark::State &State) {
  for (auto _ : State) {
    SnapshotStore::ReadGuard Guard(*m_Store);
    benchmark::DoNotOptimize(Guard->offset());
  }
}
BENCHMARK_REGISTER_F(LookupFixture, BM_ReadGuard)->Threads(1)->Threads(4);

BENCHMARK_DEFINE_F(LookupFixture, BM_FindKey)(benchmark::State &State) {
  for (auto _ : State) {
    SnapshotStore::ReadGuard Guard(*m_Store);
    benchmark::DoNotOptimize(Guard->findKey(m_Digest));
  }
}
BENCHMARK_REGISTER_F(LookupFixture, BM_FindKey)->Threads(1)->Threads(4);

BENCHMARK_DEFINE_F(LookupFixture, BM_FindRoute)(benchmark::State &State) {
  for (auto _ : State) {
    SnapshotStore::ReadGuard Guard(*m_Store);
    benchmark::DoNotOptimize(
        Guard->findRoute("GET", "/api/service-17/orders/4711?page=2"));
  }
}
BENCHMARK_REGISTER_F(LookupFixture, BM_FindRoute)->Threads(1)->Threads(4);

BENCHMARK_DEFINE_F(LookupFixture, BM_FindRate)(benchmark::State &State) {
  for (auto _ : State) {
    SnapshotStore::ReadGuard Guard(*m_Store);
    benchmark::DoNotOptimize(Guard->findRate("customer-7"));
  }
}
BENCHMARK_REGISTER_F(LookupFixture, BM_FindRate);

BENCHMARK_DEFINE_F(LookupFixture, BM_DigestOfKey)(benchmark::State &State) {
  const std::string Key = makeKeyText();
  for (auto _ : State)
    benchmark::DoNotOptimize(digestOf(Key));
}
BENCHMARK_REGISTER_F(LookupFixture, BM_DigestOfKey);

} // namespace
} // namespace knapweedloft::state
