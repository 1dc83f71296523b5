#ifndef KNAPWEEDLOFT_APP_SETTINGS_H
#define KNAPWEEDLOFT_APP_SETTINGS_H

#include "app/LogLevel.h"
#include "app/Objective.h"
#include "model/Endpoint.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// Who and where a daemon is.
struct DaemonSettings {
  std::string m_Name; ///< Unique in the fleet.
  std::string m_Region;
  std::string m_DataCenter;
};

/// The listener for callers.
struct CallerSettings {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0; ///< 0: the kernel chooses.
  std::uint32_t m_Threads = 2;
  std::uint32_t m_MaxBodyBytes = 1 << 20;
  std::uint32_t m_MaxHeaderBytes = 16384;
  std::uint32_t m_MaxConnections = 4096;
  absl::Duration m_IdleTimeout = absl::Seconds(30);
};

/// The listener for operators.
struct ApiSettings {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0; ///< 0: the kernel chooses.
  std::string m_Token;      ///< Bearer token; empty: none is asked for.
};

/// Links between daemons.
struct LinkSettings {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0; ///< 0: the kernel chooses.
  absl::Duration m_HeartbeatInterval = absl::Milliseconds(500);
  absl::Duration m_SilentAfter = absl::Milliseconds(1500);
  absl::Duration m_ConnectTimeout = absl::Seconds(1);
  std::uint32_t m_MaxFrameBytes = 4 << 20;
  /// Daemons to ask for the state where the log does not give it at the start.
  std::vector<model::Endpoint> m_Contacts = {};
};

/// The target beside the daemon.
struct TargetSettings {
  std::string m_Service; ///< Empty: this daemon has no target of its own.
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0; ///< 0: as the target announces it.
  absl::Duration m_DrainLimit = absl::Seconds(30);
};

/// The platform's log service.
struct LogServiceSettings {
  std::string m_Address;
  std::uint16_t m_Port = 0;
  std::string m_Stream = "config";
  absl::Duration m_Timeout = absl::Seconds(2);
};

/// Limits on requests.
struct LimitSettings {
  absl::Duration m_DefaultTimeout = absl::Seconds(10);
  absl::Duration m_MaxTimeout = absl::Minutes(1);
  std::uint32_t m_MaxAttempts = 3;
  std::uint32_t m_MaxPending = 10000;
};

/// When state counts as stale.
struct FreshnessSettings {
  absl::Duration m_IsolatedAfter = absl::Seconds(5);
};

/// What is logged.
struct LogOutputSettings {
  LogLevel m_Level = LogLevel::Info;
};

/// Everything that a daemon reads at its start, with the defaults.
struct Settings {
  DaemonSettings m_Daemon;
  CallerSettings m_Caller;
  ApiSettings m_Api;
  LinkSettings m_Link;
  TargetSettings m_Target;
  LogServiceSettings m_Log;
  LimitSettings m_Limits;
  FreshnessSettings m_Freshness;
  Objective m_Objectives; ///< What the burn report is measured by.
  LogOutputSettings m_LogOutput;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SETTINGS_H
