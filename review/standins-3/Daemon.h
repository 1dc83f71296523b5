#ifndef KNAPWEEDLOFT_REVIEW3_DAEMON_H
#define KNAPWEEDLOFT_REVIEW3_DAEMON_H

#include "Http.h"

#include <mutex>
#include <string>
#include <sys/types.h>

namespace knapweedloft::review3 {

/// One process of the product, started with the command of deploy/system.toml
/// and the settings that deploy/settings.toml is the template of. The test runs
/// in the root of the repository.
class Daemon {
public:
  struct Options {
    std::string m_Name;
    std::string m_Service;
    std::string m_Ip;
    Endpoint m_Store;
    std::string m_Folder; ///< For the settings file and the output.
    int m_MemoryMb = 260;
    int m_Descriptors = 4100;
    int m_GraceSeconds = 6;
  };

  explicit Daemon(Options Settings) : m_Settings(std::move(Settings)) {}
  ~Daemon() { kill(); }
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// \returns whether the process was started.
  bool start(bool IsFirstStart);
  void signal(int Number);
  /// Kills the process and waits for its end.
  void kill();
  /// \returns whether the process has ended.
  [[nodiscard]] bool hasEnded();
  /// \returns the memory that the process itself holds, without what is mapped
  /// from files; 0: it does not run.
  [[nodiscard]] double memoryMb();
  [[nodiscard]] bool isReady() const;

  [[nodiscard]] Endpoint callers() const { return {m_Settings.m_Ip, 7001}; }
  [[nodiscard]] Endpoint links() const { return {m_Settings.m_Ip, 7002}; }
  [[nodiscard]] Endpoint ready() const { return {m_Settings.m_Ip, 7003}; }
  [[nodiscard]] Endpoint control() const { return {m_Settings.m_Ip, 7004}; }
  [[nodiscard]] Endpoint upstream() const { return {m_Settings.m_Ip, 7006}; }
  [[nodiscard]] const Options &options() const { return m_Settings; }

private:
  [[nodiscard]] std::string settings(bool IsFirstStart) const;

  Options m_Settings;
  std::mutex m_Mutex;
  pid_t m_Process = 0;
};

/// Kills all daemons and ends this process with 2 after \p Seconds, or when it
/// is told to end.
void endAllAfter(unsigned Seconds);

/// \returns an address of a test that no other process of this machine uses:
/// 127.x.y.Index, by the id of this process.
[[nodiscard]] std::string loopbackIp(int Index);

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_DAEMON_H
