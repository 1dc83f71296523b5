#ifndef KNAPWEEDLOFT_TELEMETRY_EVENTLOG_H
#define KNAPWEEDLOFT_TELEMETRY_EVENTLOG_H

#include "telemetry/Importance.h"

#include "absl/time/time.h"
#include "fmt/format.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace knapweedloft::telemetry {

/// Collects lines of one process and writes them without blocking.
///
/// A line is `TIME PART: sentence key=value ...`. Lines wait in a buffer of
/// bounded size until flush() finds room at the other end. Past the budget of
/// a second, routine lines are dropped first, lines on state last; a later
/// line tells how many of which kind were. A reader that stops reading costs
/// nothing but the lines. Never give it a caller's key. Not thread-safe.
///
/// \code
///   Log.write(Importance::Notable, "entry", "Refused.", Wall,
///             {{"id", Id}, {"reason", Reason}});
///   Log.flush(Wall); // now and then
/// \endcode
class EventLog {
public:
  /// One key=value.
  struct Field {
    template <typename ValueT>
    Field(std::string_view Key, const ValueT &Value)
        : m_Key(Key), m_Value(fmt::format("{}", Value)) {}
    Field(std::string_view Key, absl::Duration Value);

    std::string_view m_Key;
    std::string m_Value;
  };
  using Fields = std::initializer_list<Field>;

  struct Options {
    /// 350 requests a second through each side with a line each come to about
    /// 100 KB; four times that is room for a storm.
    std::size_t m_BytesPerSecond = 400 << 10;
    /// Routine lines may use this share of it.
    double m_RoutineShare = 0.5;
    std::size_t m_MaxWaitingBytes = 256 << 10;
    /// Writes what fits without blocking. \returns the bytes taken.
    std::function<std::size_t(std::string_view)> m_Sink;
  };

  explicit EventLog(Options Settings) : m_Settings(std::move(Settings)) {}

  /// \returns whether a line of this importance would be kept now; spares the
  /// cost of its fields.
  [[nodiscard]] bool accepts(Importance Kind, absl::Time Wall);

  void write(Importance Kind, std::string_view Part, std::string_view Sentence,
             absl::Time Wall, Fields Values = {});

  /// Hands waiting lines to the sink.
  void flush(absl::Time Wall);

  [[nodiscard]] std::uint64_t dropped(Importance Kind) const {
    return m_Dropped[static_cast<std::size_t>(Kind)];
  }

private:
  void startSecond(absl::Time Wall);
  void tellDropped(absl::Time Wall);

  Options m_Settings;
  absl::Time m_Second = absl::InfinitePast(); ///< Begin of the budget's second.
  std::size_t m_UsedBytes = 0;                ///< In this second.
  std::string m_Waiting;
  std::size_t m_Sent = 0; ///< Of m_Waiting.
  std::array<std::uint64_t, 3> m_Dropped{};
  std::array<std::uint64_t, 3> m_Told{};
};

/// \returns a sink that writes to a pipe, file or terminal whose buffer may be
/// full, without changing the mode of the descriptor.
[[nodiscard]] std::function<std::size_t(std::string_view)>
descriptorSink(int Descriptor);

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_EVENTLOG_H
