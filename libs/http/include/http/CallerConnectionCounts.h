#ifndef KNAPWEEDLOFT_HTTP_CALLERCONNECTIONCOUNTS_H
#define KNAPWEEDLOFT_HTTP_CALLERCONNECTIONCOUNTS_H

#include "model/NameTable.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::http {

/// Why a connection that a LoopServer accepted was closed. Once all its answers
/// are written, what made the server end it counts, whoever closes it.
enum class CallerConnectionEnd : std::uint8_t {
  CallerLeft,     ///< The caller closed or reset it, or it broke.
  LastAnswer,     ///< An answer of the application was its last one.
  Refused,        ///< The server refused what it read: malformed or too long.
  Idle,           ///< No request came for the idle timeout.
  RequestTimeout, ///< A header section was late, or a body stalled.
  WriteTimeout,   ///< The caller took no byte of an answer in time.
  Memory,         ///< It held the most of the memory budget.
  Stopped,        ///< It was idle in a planned stop, or the server ended.
  TooMany ///< Accepted above the limit of connections; nothing was read.
};

inline constexpr std::size_t CallerConnectionEndCount = 9;
inline constexpr model::NameTable<CallerConnectionEnd, CallerConnectionEndCount>
    CallerConnectionEndNames{{"caller-left", "last-answer", "refused", "idle",
                              "request-timeout", "write-timeout", "memory",
                              "stopped", "too-many"}};

/// What a LoopServer read from its callers and closed since its start.
struct CallerConnectionCounts {
  using Counts = std::array<std::uint64_t, CallerConnectionEndCount>;

  std::uint64_t m_BytesRead = 0;
  Counts m_Closed{};
  /// Requests that were handed over on them and whose answers were not written
  /// when they were closed.
  Counts m_Unanswered{};

  /// \returns the unanswered requests of connections that the server closed.
  [[nodiscard]] std::uint64_t cut() const {
    std::uint64_t Sum = 0;
    for (std::uint64_t Count : m_Unanswered)
      Sum += Count;
    return Sum - m_Unanswered[static_cast<std::size_t>(
                     CallerConnectionEnd::CallerLeft)];
  }
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CALLERCONNECTIONCOUNTS_H
