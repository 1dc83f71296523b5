#ifndef KNAPWEEDLOFT_APP_ANNOUNCEMENT_H
#define KNAPWEEDLOFT_APP_ANNOUNCEMENT_H

#include "model/Endpoint.h"
#include "model/NameTable.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedloft::app {

enum class TargetState : std::uint8_t { Starting, Ready, Draining };

inline constexpr model::NameTable<TargetState, 3> TargetStateNames{
    {"starting", "ready", "draining"}};

/// What a target says of itself to the daemon beside it.
struct Announcement {
  std::string m_Service;
  model::Endpoint m_At; ///< On loopback.
  TargetState m_State = TargetState::Ready;
  std::uint64_t m_Instance = 0; ///< One life of the target; 0 if not given.
};

/// Parses {"service": "orders", "address": "127.0.0.1", "port": 8080,
/// "state": "ready", "instance": 7}; state and instance may be left out.
/// \throws AppError that names the field at fault.
[[nodiscard]] Announcement announcementFromJson(std::string_view Text);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_ANNOUNCEMENT_H
