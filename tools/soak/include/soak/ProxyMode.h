#ifndef KNAPWEEDLOFT_SOAK_PROXYMODE_H
#define KNAPWEEDLOFT_SOAK_PROXYMODE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::soak {

/// What a loopback proxy does with the bytes of its connections.
enum class ProxyMode : std::uint8_t {
  Pass,
  Delay,  ///< Everything comes later.
  OneWay, ///< What comes back from the server is kept for the time being.
  Silent, ///< Both directions are kept for the time being.
};

inline constexpr model::NameTable<ProxyMode, 4> ProxyModeNames{
    {"pass", "delay", "one-way", "silent"}};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_PROXYMODE_H
