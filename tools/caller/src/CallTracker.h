#ifndef KNAPWEEDLOFT_CALLER_CALLTRACKER_H
#define KNAPWEEDLOFT_CALLER_CALLTRACKER_H

#include "caller/LoadPlan.h"
#include "caller/LoadReport.h"
#include "http/HttpClient.h"

#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <string>

namespace knapweedloft::caller {

/// Sends calls, sends them again for customers that do so, checks the answers
/// and counts.
class CallTracker {
public:
  explicit CallTracker(const LoadPlan &Plan);
  CallTracker(const CallTracker &) = delete;
  CallTracker &operator=(const CallTracker &) = delete;

  void startCall(const CallingCustomer &Customer);

  /// Blocks until every call has ended.
  void awaitAll();

  /// \returns the report, but for its duration; after awaitAll().
  [[nodiscard]] LoadReport takeReport();

private:
  struct Call {
    const CallingCustomer *m_Customer;
    std::uint64_t m_Number;
    unsigned m_Attempt;
    std::string m_Id;
  };

  void send(Call Sent);
  void onResult(Call Ended, const http::HttpResult &Result);
  /// \returns whether the call succeeded.
  bool count(const Call &Ended, const http::HttpResult &Result)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  [[nodiscard]] http::HttpRequest makeRequest(const Call &Sent) const;

  const LoadPlan &m_Plan;
  absl::Mutex m_Mutex;
  std::uint64_t m_LastNumber ABSL_GUARDED_BY(m_Mutex) = 0;
  std::uint64_t m_Open ABSL_GUARDED_BY(m_Mutex) = 0;
  LoadReport m_Report ABSL_GUARDED_BY(m_Mutex);
  http::HttpClient m_Client;
};

} // namespace knapweedloft::caller

#endif // KNAPWEEDLOFT_CALLER_CALLTRACKER_H
