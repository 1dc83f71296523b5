#ifndef KNAPWEEDLOFT_HARNESS_SITE_H
#define KNAPWEEDLOFT_HARNESS_SITE_H

#include "harness/Node.h"
#include "harness/Process.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::harness {

/// A log service and VMs as real processes on 127.0.0.1.
///
/// \code
///   Site Small;
///   Small.addNode({.m_Name = "press-1", .m_Service = "orders"});
///   Small.apply("customers/ana", R"({"display_name": "Ana"})");
/// \endcode
class Site {
public:
  /// Starts the log service with \p LogArguments.
  explicit Site(const std::vector<std::string> &LogArguments = {});
  /// Ends every process and removes the settings files.
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Starts a daemon, and the target beside it once the daemon listens.
  /// \returns the index of the node.
  std::size_t addNode(NodeOptions Options);

  void startDaemon(std::size_t Index);
  void startTarget(std::size_t Index);

  [[nodiscard]] Node &node(std::size_t Index) { return *m_Nodes[Index]; }
  [[nodiscard]] std::size_t size() const { return m_Nodes.size(); }
  [[nodiscard]] Process &logService() { return *m_Log; }
  [[nodiscard]] std::uint16_t logPort() const { return m_LogPort; }

  /// PUTs \p Json to /v1/\p Path on the resource API of node \p Index.
  /// \throws HarnessError unless it is accepted.
  std::string put(const std::string &Path, const std::string &Json,
                  std::size_t Index = 0);
  void remove(const std::string &Path, std::size_t Index = 0);

  /// Ends every daemon and target with SIGTERM and waits for them.
  /// \returns which ended with another code than 0.
  std::vector<std::string> stopAll();

private:
  std::string writeSettings(const NodeOptions &Options) const;

  std::string m_Folder;
  std::unique_ptr<Process> m_Log;
  std::uint16_t m_LogPort = 0;
  std::vector<std::unique_ptr<Node>> m_Nodes;
};

/// \returns the path of the program \p Name beside the running one.
[[nodiscard]] std::string programPath(const std::string &Name);

/// Asks \p IsSo again every few milliseconds.
/// \returns whether it became so within \p Limit.
[[nodiscard]] bool eventually(const std::function<bool()> &IsSo,
                              absl::Duration Limit = absl::Seconds(30));

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_SITE_H
