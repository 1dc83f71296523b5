#ifndef KNAPWEEDLOFT_REVIEW3_UPSTREAM_H
#define KNAPWEEDLOFT_REVIEW3_UPSTREAM_H

#include "Http.h"
#include "Record.h"
#include "Server.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace knapweedloft::review3 {

/// Stand-in for an application upstream: runs requests for a set time, answers
/// them whole with its signature, answers health checks, reports to the daemon
/// beside it. It drops a request whose connection closes.
class Upstream {
public:
  struct Options {
    std::string m_Name; ///< Of the machine.
    std::string m_Service;
    Endpoint m_At;
    Endpoint m_Control; ///< Of the daemon beside it.
    int m_Slots = 36;
    double m_WorkSeconds = 0.1;
    std::size_t m_AnswerBytes = 1000;
  };

  /// What became of a request here.
  struct Run {
    double m_Began = 0;
    std::optional<double> m_Ended; ///< When its answer was handed out.
    std::size_t m_BodyBytes = 0;
    int m_Times = 0;
  };

  Upstream(Options Settings, Record &Log);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  [[nodiscard]] bool isListening() const { return m_Server->isListening(); }
  /// Requests that begin from now on take \p Times as long.
  void setSlowness(double Times) { m_Slowness = Times; }
  /// Leaves without a report that it drains: tells the daemon by DELETE and
  /// serves on. \returns whether that was acknowledged.
  bool leave();
  /// Says that it is well whatever holds, and fails all requests.
  void setLying(bool IsLying) { m_IsLying = IsLying; }
  /// \returns what became of the request \p Id, if it began here.
  [[nodiscard]] std::optional<Run> run(const std::string &Id);
  [[nodiscard]] const Options &options() const { return m_Settings; }

private:
  void serve(const Socket &Held);
  /// \returns whether the connection may go on.
  bool execute(const Socket &Held, const Head &Request, double Began);
  void report();
  /// Waits for the work to be done. \returns false if the connection ended.
  [[nodiscard]] static bool waitFor(const Socket &Held, double Until);
  [[nodiscard]] std::string loadLine() const;

  Options m_Settings;
  Record &m_Log;
  std::string m_Id;
  std::string m_Body;
  std::int64_t m_BornMs;
  std::atomic<double> m_Slowness{1};
  std::atomic<int> m_Running{0};
  std::atomic<bool> m_IsStopping{false};
  std::atomic<bool> m_IsLeaving{false};
  std::atomic<bool> m_IsLying{false};
  std::mutex m_Mutex;
  std::map<std::string, Run> m_Runs;
  std::unique_ptr<Server> m_Server;
  std::thread m_Reporter;
};

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_UPSTREAM_H
