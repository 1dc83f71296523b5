#ifndef KNAPWEEDLOFT_BENCH_BENCHSITE_H
#define KNAPWEEDLOFT_BENCH_BENCHSITE_H

#include "bench/ProcessCost.h"
#include "caller/LoadReport.h"
#include "harness/Site.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::bench {

/// An entry daemon without a target, and a daemon with the one target.
class BenchSite {
public:
  BenchSite();

  /// Which way calls take.
  enum class Way : std::uint8_t { Direct, Through };

  [[nodiscard]] caller::LoadReport send(Way Taken, double PerSecond,
                                        absl::Duration Duration,
                                        std::uint64_t Seed) const;

  /// \returns the sum over both daemons of the processor time used, and the
  /// larger of their memories.
  [[nodiscard]] ProcessCost daemonCost();

  /// Bytes of one request and one answer on the wire towards the target.
  static constexpr std::size_t RequestBytes = 400;
  static constexpr std::size_t AnswerBytes = 512;

private:
  [[nodiscard]] std::string makeKey();

  harness::Site m_Site;
  std::string m_Key;
  std::string m_EntryBase;
  std::string m_TargetBase;
};

} // namespace knapweedloft::bench

#endif // KNAPWEEDLOFT_BENCH_BENCHSITE_H
