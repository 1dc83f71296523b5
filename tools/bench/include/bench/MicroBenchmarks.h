#ifndef KNAPWEEDLOFT_BENCH_MICROBENCHMARKS_H
#define KNAPWEEDLOFT_BENCH_MICROBENCHMARKS_H

#include <optional>
#include <string>
#include <vector>

namespace knapweedloft::bench {

/// One result of a Google Benchmark program.
struct MicroResult {
  std::string m_Name;
  double m_Nanoseconds = 0;
  std::optional<double> m_Allocations; ///< For each iteration, if counted.
};

/// Runs the benchmark program \p Program beside the running one.
[[nodiscard]] std::vector<MicroResult>
runMicroBenchmarks(const std::string &Program);

} // namespace knapweedloft::bench

#endif // KNAPWEEDLOFT_BENCH_MICROBENCHMARKS_H
