#ifndef KNAPWEEDLOFT_APP_DAEMON_H
#define KNAPWEEDLOFT_APP_DAEMON_H

#include "app/Settings.h"
#include "model/Endpoint.h"

#include <cstdint>
#include <memory>

namespace knapweedloft::app {

/// A whole daemon: both sides, its listeners, links and threads.
///
/// \code
///   Daemon Running(Settings);
///   waitForSignal();
///   Running.stop(); // a planned stop; cuts no request
/// \endcode
class Daemon {
public:
  /// Starts every listener and thread.
  /// \throws AppError if an address cannot be bound.
  explicit Daemon(const Settings &From);
  /// Stops at once; stop() comes first for a planned stop.
  ~Daemon();

  /// Takes no new work, tells peers and callers, finishes what is in flight
  /// within the settings' drain limit, leaves.
  /// \returns how many requests were still in flight at the limit.
  std::size_t stop();

  /// \returns where it accepts links.
  [[nodiscard]] model::Endpoint linkEndpoint() const;
  /// \returns the port of the operators' listener.
  [[nodiscard]] std::uint16_t apiPort() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_DAEMON_H
