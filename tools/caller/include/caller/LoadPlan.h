#ifndef KNAPWEEDLOFT_CALLER_LOADPLAN_H
#define KNAPWEEDLOFT_CALLER_LOADPLAN_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::caller {

/// A customer and how it calls.
struct CallingCustomer {
  std::string m_Name;
  std::string m_Key; ///< Empty: no key is shown.
  double m_PerSecond = 100;
  unsigned m_Retries = 0; ///< Sent again at once, so often, if a call fails.
};

/// What a load run sends.
struct LoadPlan {
  std::vector<std::string> m_Bases; ///< "http://IP:PORT", taken in turn.
  std::vector<CallingCustomer> m_Customers;
  std::string m_Method = "POST";
  std::string m_Path = "/";
  std::size_t m_BodyBytes = 0;
  std::size_t m_AnswerBytes = 0;
  absl::Duration m_Duration = absl::Seconds(5);
  absl::Duration m_Timeout = absl::Seconds(10);
  std::uint64_t m_Seed = 1;     ///< Of the gaps between calls.
  bool m_KeepsAttempts = false; ///< Lists each attempt in the report.
};

} // namespace knapweedloft::caller

#endif // KNAPWEEDLOFT_CALLER_LOADPLAN_H
