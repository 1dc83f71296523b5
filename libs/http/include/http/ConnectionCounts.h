#ifndef KNAPWEEDLOFT_HTTP_CONNECTIONCOUNTS_H
#define KNAPWEEDLOFT_HTTP_CONNECTIONCOUNTS_H

#include "model/NameTable.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::http {

/// Why a connection of a LoopClient was opened.
enum class ConnectionNeed : std::uint8_t {
  NoneIdle,   ///< All kept connections were in use, or none was kept.
  IdleTooLong ///< The call takes no connection that was idle for so long.
};

inline constexpr std::size_t ConnectionNeedCount = 2;
inline constexpr model::NameTable<ConnectionNeed, ConnectionNeedCount>
    ConnectionNeedNames{{"none-idle", "idle-too-long"}};

/// Why a connection of a LoopClient was closed.
enum class ConnectionEnd : std::uint8_t {
  ServerSaid,   ///< An answer was the last on its connection.
  ServerClosed, ///< The server closed it while it was idle.
  Expired,      ///< It was idle for as long as it may be kept.
  Surplus,      ///< As many idle ones as allowed were kept already.
  Replaced,     ///< A call that takes none idle for so long opened another.
  Cancelled,    ///< Its call was given up.
  TimedOut,     ///< Its call got no answer in time.
  Broken,       ///< It broke during a call, or was never established.
  Unasked       ///< It brought bytes that no call waited for.
};

inline constexpr std::size_t ConnectionEndCount = 9;
inline constexpr model::NameTable<ConnectionEnd, ConnectionEndCount>
    ConnectionEndNames{{"server-said", "server-closed", "expired", "surplus",
                        "replaced", "cancelled", "timed-out", "broken",
                        "unasked"}};

/// Counts of the connections of a LoopClient since its start.
struct ConnectionCounts {
  std::array<std::uint64_t, ConnectionNeedCount> m_Opened{};
  std::array<std::uint64_t, ConnectionEndCount> m_Closed{};

  [[nodiscard]] std::uint64_t opened() const {
    std::uint64_t Sum = 0;
    for (std::uint64_t Count : m_Opened)
      Sum += Count;
    return Sum;
  }
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CONNECTIONCOUNTS_H
