#ifndef KNAPWEEDLOFT_REVIEW3_SITE_H
#define KNAPWEEDLOFT_REVIEW3_SITE_H

#include "Daemon.h"
#include "Record.h"
#include "Store.h"
#include "Upstream.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::review3 {

/// How a script ends.
enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

/// A service and its upstreams, with a route /NAME/ to it.
struct ServiceSpec {
  std::string m_Name;
  int m_Machines = 1;
  std::string m_Kind = "idempotent";
  int m_Slots = 36;
  double m_WorkSeconds = 0.1;
  std::size_t m_AnswerBytes = 1000;
};

/// A small deployment of one zone: a store, and machines with a daemon and an
/// upstream each.
class Site {
public:
  struct Options {
    std::vector<ServiceSpec> m_Services;
    int m_MemoryMb = 260;
    int m_GraceSeconds = 6;
    int m_TimeoutSeconds = 10; ///< Of all routes.
  };

  struct Machine {
    std::unique_ptr<Daemon> m_Daemon;
    std::unique_ptr<Upstream> m_Upstream;
  };

  Site(const Options &Settings, Record &Log);
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Starts everything and waits until all daemons are ready and their
  /// upstreams are in use. \returns whether they are.
  bool start();
  [[nodiscard]] std::vector<Machine> &machines() { return m_Machines; }
  /// \returns what became of a request at the upstreams, and at which.
  [[nodiscard]] std::optional<Upstream::Run> run(const std::string &Id);

private:
  [[nodiscard]] std::string configuration() const;

  Options m_Settings;
  Record &m_Log;
  std::string m_Folder;
  std::unique_ptr<Store> m_Store;
  std::vector<Machine> m_Machines;
};

/// \returns the text of a request for the route /SERVICE/.
[[nodiscard]] std::string requestHead(const std::string &Method,
                                      const std::string &Service,
                                      const std::string &Id, int DeadlineMs,
                                      std::size_t BodyBytes);

/// \returns whether the script is run with the disruption.
[[nodiscard]] bool hasTrouble();

/// Ends the process at once, without waiting for threads.
[[noreturn]] void endProcess(int Code);

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_SITE_H
