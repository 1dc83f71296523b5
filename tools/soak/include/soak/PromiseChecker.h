#ifndef KNAPWEEDLOFT_SOAK_PROMISECHECKER_H
#define KNAPWEEDLOFT_SOAK_PROMISECHECKER_H

#include "http/HttpResult.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace knapweedloft::soak {

/// Holds what callers were told against what targets did, while both go on,
/// and tells each breach of a promise as soon as it is seen. Not thread-safe.
///
/// Promises: what may run once never runs twice; 408, 421, 429 and 503 mean
/// that a request has not run and never will; a success is the whole answer to
/// that very request; a customer stays within its rate and burst.
class PromiseChecker {
public:
  /// A request as a caller sends it.
  struct Request {
    std::string m_CallId;
    std::string m_Customer;
    bool m_MayRepeat = false;
    std::size_t m_AnswerBytes = 0;
    /// The daemon that it is sent to has run undisturbed for a while.
    bool m_IsInTouch = false;
  };

  /// A customer's limit; 0: none.
  struct Rate {
    double m_PerSecond = 0;
    double m_Burst = 0;
  };

  /// \p OnBreach gets one line for each breach.
  explicit PromiseChecker(std::function<void(const std::string &)> OnBreach)
      : m_OnBreach(std::move(OnBreach)) {}

  void setRate(const std::string &Customer, const Rate &Limit) {
    m_Rates[Customer] = Limit;
  }

  void onSent(Request Next, absl::Time Now);
  /// The daemon of \p Vm sent a request to its target.
  void onPassedOn(const std::string &CallId, const std::string &Vm,
                  absl::Time Now);
  /// \returns when a request that arrives at the target of \p Vm at \p Now was
  /// sent by the daemon there; \p Now if that is not known.
  [[nodiscard]] absl::Time passedOnAt(const std::string &CallId,
                                      const std::string &Vm,
                                      absl::Time Now) const;
  /// A target began to work on a request.
  void onRun(const std::string &CallId, const std::string &Target,
             absl::Time Now);
  /// A target crashes by a run of this request. \p Name is the same for all
  /// requests that are the same.
  void onCrash(const std::string &Name, const std::string &CallId,
               absl::Time Now);
  /// What no store has taken of crashes is lost with the daemons.
  void onAllDaemonsKilled() { m_Crashes.clear(); }
  /// The caller of a request has a whole answer.
  void onAnswer(const std::string &CallId, const http::HttpResponse &Answer,
                absl::Time Now);
  /// A breach that another part has seen.
  void breach(const std::string &Line);

  [[nodiscard]] bool hasRun(const std::string &CallId) const {
    return m_States.at(CallId).m_Runs > 0;
  }
  [[nodiscard]] std::uint64_t breaches() const { return m_Breaches; }
  [[nodiscard]] std::uint64_t answered() const { return m_Answered; }
  [[nodiscard]] std::uint64_t succeeded() const { return m_Succeeded; }
  [[nodiscard]] std::uint64_t runs() const { return m_Runs; }

private:
  struct State {
    Request m_Request;
    unsigned m_Runs = 0;
    int m_Status = 0; ///< Of the answer; 0: none yet.
    /// By VM; for the last time.
    absl::flat_hash_map<std::string, absl::Time> m_PassedOn;
  };

  struct Crashes {
    unsigned m_Count = 0;
    absl::Time m_Third;
    unsigned m_Late = 0; ///< Runs long after the third crash.
  };

  void checkRate(const std::string &Customer, absl::Time Now);

  std::function<void(const std::string &)> m_OnBreach;
  absl::flat_hash_map<std::string, State> m_States;
  absl::flat_hash_map<std::string, Rate> m_Rates;
  absl::flat_hash_map<std::string, std::deque<absl::Time>> m_Taken;
  absl::flat_hash_map<std::string, Crashes> m_Crashes;
  std::uint64_t m_Breaches = 0;
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Succeeded = 0;
  std::uint64_t m_Runs = 0;
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_PROMISECHECKER_H
