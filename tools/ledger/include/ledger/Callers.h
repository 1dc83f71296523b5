#ifndef KNAPWEEDLOFT_LEDGER_CALLERS_H
#define KNAPWEEDLOFT_LEDGER_CALLERS_H

#include "http/HttpClient.h"
#include "ledger/CallRecord.h"

#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::ledger {

/// Sends calls through all daemons, a set number at once, and records how each
/// ended. Keyed calls are sent again through other daemons until they have an
/// answer; the others are sent again only where no connection was made.
class Callers {
public:
  struct Plan {
    std::uint64_t m_Seed = 1;
    std::uint64_t m_Calls = 1000;
    double m_PerSecond = 1500; ///< New calls, if those under way allow.
    unsigned m_AtOnce = 64;
    unsigned m_MaxSendings = 5;
    /// Idempotent calls without an answer are sent again at the end so often.
    unsigned m_Passes = 0;
    http::HeaderList m_Authorization;
    std::vector<std::string> m_Bases;
  };

  explicit Callers(Plan Settings);

  /// Blocks until every call has ended.
  void run();

  [[nodiscard]] std::uint64_t ended() const { return m_Ended; }
  /// \returns sendings that were refused, by reason; after run().
  [[nodiscard]] std::map<std::string, std::uint64_t> reasons();
  /// \returns idempotent calls that never had their answer.
  [[nodiscard]] std::uint64_t unansweredIdempotent() const;
  [[nodiscard]] const std::vector<CallRecord> &records() const {
    return m_Records;
  }

private:
  void sendUnansweredAgain();
  void awaitEnded(std::uint64_t Count);
  void send(std::size_t Index);
  void noteReason(const http::HttpResult &Result);
  void onResult(std::size_t Index, const http::HttpResult &Result);
  [[nodiscard]] http::HttpRequest requestFor(const CallRecord &Call) const;
  [[nodiscard]] bool isSentAgain(const CallRecord &Call) const;

  Plan m_Plan;
  std::vector<CallRecord> m_Records;
  absl::Mutex m_Mutex;
  std::mt19937_64 m_Random ABSL_GUARDED_BY(m_Mutex);
  std::atomic<std::uint64_t> m_Ended = 0;
  std::map<std::string, std::uint64_t> m_Reasons ABSL_GUARDED_BY(m_Mutex);
  http::HttpClient m_Client; ///< Last: its callbacks use the rest.
};

} // namespace knapweedloft::ledger

#endif // KNAPWEEDLOFT_LEDGER_CALLERS_H
