#ifndef KNAPWEEDLOFT_APP_SETTINGSFIELDS_H
#define KNAPWEEDLOFT_APP_SETTINGSFIELDS_H

#include "app/Settings.h"

#include <cstdint>

namespace knapweedloft::app {

/// Whether a key must be in the file.
enum class Presence : std::uint8_t { Optional, Required };

/// Shows every key of the settings to \p Visitor, which reads, prints or lists
/// them. It has table(Name, IsOptional) and, for the keys of that table,
/// name, text, secret, address, port, count, duration, share, endpoints and
/// level.
template <typename SettingsT, typename VisitorT>
void visitSettings(SettingsT &Values, VisitorT &Visitor) {
  const absl::Duration Millisecond = absl::Milliseconds(1);
  const absl::Duration Hour = absl::Hours(1);

  Visitor.table("daemon");
  Visitor.name("name", Values.m_Daemon.m_Name, Presence::Required);
  Visitor.name("region", Values.m_Daemon.m_Region, Presence::Required);
  Visitor.name("data_center", Values.m_Daemon.m_DataCenter, Presence::Required);

  Visitor.table("caller");
  Visitor.address("address", Values.m_Caller.m_Address, Presence::Optional);
  Visitor.port("port", Values.m_Caller.m_Port, 0, Presence::Optional);
  Visitor.count("threads", Values.m_Caller.m_Threads, 1, 64);
  Visitor.count("max_body_bytes", Values.m_Caller.m_MaxBodyBytes, 1, 64 << 20);
  Visitor.count("max_header_bytes", Values.m_Caller.m_MaxHeaderBytes, 1024,
                1 << 20);
  Visitor.count("max_connections", Values.m_Caller.m_MaxConnections, 16,
                1 << 20);
  Visitor.duration("idle_timeout_ms", Values.m_Caller.m_IdleTimeout,
                   absl::Seconds(1), Hour);

  Visitor.table("api");
  Visitor.address("address", Values.m_Api.m_Address, Presence::Optional);
  Visitor.port("port", Values.m_Api.m_Port, 0, Presence::Optional);
  Visitor.secret("token", Values.m_Api.m_Token);

  Visitor.table("link");
  Visitor.address("address", Values.m_Link.m_Address, Presence::Optional);
  Visitor.port("port", Values.m_Link.m_Port, 0, Presence::Optional);
  Visitor.duration("heartbeat_interval_ms", Values.m_Link.m_HeartbeatInterval,
                   10 * Millisecond, absl::Minutes(1));
  Visitor.duration("silent_after_ms", Values.m_Link.m_SilentAfter,
                   20 * Millisecond, absl::Minutes(10));
  Visitor.duration("connect_timeout_ms", Values.m_Link.m_ConnectTimeout,
                   10 * Millisecond, absl::Minutes(1));
  Visitor.count("max_frame_bytes", Values.m_Link.m_MaxFrameBytes, 65536,
                256 << 20);
  Visitor.endpoints("contacts", Values.m_Link.m_Contacts);

  Visitor.table("target", Values.m_Target.m_Service.empty());
  Visitor.name("service", Values.m_Target.m_Service, Presence::Required);
  Visitor.address("address", Values.m_Target.m_Address, Presence::Optional);
  Visitor.port("port", Values.m_Target.m_Port, 0, Presence::Optional);
  Visitor.duration("drain_limit_ms", Values.m_Target.m_DrainLimit, Millisecond,
                   Hour);

  Visitor.table("log");
  Visitor.address("address", Values.m_Log.m_Address, Presence::Required);
  Visitor.port("port", Values.m_Log.m_Port, 1, Presence::Required);
  Visitor.name("stream", Values.m_Log.m_Stream, Presence::Optional);
  Visitor.duration("timeout_ms", Values.m_Log.m_Timeout, 10 * Millisecond,
                   absl::Minutes(5));

  Visitor.table("limits");
  Visitor.duration("default_timeout_ms", Values.m_Limits.m_DefaultTimeout,
                   Millisecond, Hour);
  Visitor.duration("max_timeout_ms", Values.m_Limits.m_MaxTimeout, Millisecond,
                   Hour);
  Visitor.count("max_attempts", Values.m_Limits.m_MaxAttempts, 1, 100);
  Visitor.count("max_pending", Values.m_Limits.m_MaxPending, 1, 1 << 20);

  Visitor.table("freshness");
  Visitor.duration("isolated_after_ms", Values.m_Freshness.m_IsolatedAfter,
                   100 * Millisecond, Hour);

  Visitor.table("objectives");
  Visitor.share("success_share", Values.m_Objectives.m_SuccessShare);
  Visitor.duration("latency_ms", Values.m_Objectives.m_Latency, Millisecond,
                   Hour);
  Visitor.share("latency_share", Values.m_Objectives.m_LatencyShare);

  Visitor.table("log_output");
  Visitor.level("level", Values.m_LogOutput.m_Level);
}

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SETTINGSFIELDS_H
