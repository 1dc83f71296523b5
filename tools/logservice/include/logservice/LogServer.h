#ifndef KNAPWEEDLOFT_LOGSERVICE_LOGSERVER_H
#define KNAPWEEDLOFT_LOGSERVICE_LOGSERVER_H

#include "logservice/LogStore.h"

#include <cstdint>
#include <memory>
#include <string>

namespace knapweedloft::logservice {

/// Serves a store over the HTTP protocol of platform::makeHttpLog, with
/// `POST /faults` (see parseFaults()) and `POST /expire/STREAM?before=N`
/// besides.
class LogServer {
public:
  struct Options {
    std::string m_Address = "127.0.0.1"; ///< IP number.
    std::uint16_t m_Port = 0;            ///< 0: the kernel chooses.
  };

  /// \p Store must outlive the server.
  /// \throws std::runtime_error if the address cannot be bound.
  LogServer(LogStore &Store, const Options &Settings);
  ~LogServer();

  [[nodiscard]] std::uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::logservice

#endif // KNAPWEEDLOFT_LOGSERVICE_LOGSERVER_H
