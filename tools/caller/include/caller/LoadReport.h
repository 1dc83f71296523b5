#ifndef KNAPWEEDLOFT_CALLER_LOADREPORT_H
#define KNAPWEEDLOFT_CALLER_LOADREPORT_H

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace knapweedloft::caller {

/// One sent request, for a comparison with the targets' ledgers.
struct Attempt {
  std::string m_Id;
  int m_Status = 0;
  std::string m_Ran; ///< "yes" for an answer, else as the refusal said.
};

/// What one customer saw.
struct CustomerReport {
  std::uint64_t m_Calls = 0;     ///< Without resends.
  std::uint64_t m_Attempts = 0;  ///< With resends.
  std::uint64_t m_Succeeded = 0; ///< Calls with a whole answer of their own.
  std::map<std::string, std::uint64_t> m_ByStatus; ///< Of attempts.
  std::map<std::string, std::uint64_t> m_ByReason;
  std::map<std::string, std::uint64_t> m_ByRan;
};

/// What a load run saw.
struct LoadReport {
  std::map<std::string, CustomerReport> m_Customers;
  std::uint64_t m_WrongAnswers = 0; ///< Not its own or not whole.
  absl::Duration m_Duration;
  std::vector<absl::Duration> m_Latencies; ///< Of answered attempts; sorted.
  std::vector<Attempt> m_AttemptList;      ///< If the plan asked for it.

  /// \returns the latency that the share \p Quantile (0 to 1) is at most.
  [[nodiscard]] absl::Duration latency(double Quantile) const;

  /// \returns the sums over all customers.
  [[nodiscard]] CustomerReport total() const;

  [[nodiscard]] nlohmann::json toJson() const;
};

} // namespace knapweedloft::caller

#endif // KNAPWEEDLOFT_CALLER_LOADREPORT_H
