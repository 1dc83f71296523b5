#ifndef KNAPWEEDLOFT_TELEMETRY_LOSSTABLE_H
#define KNAPWEEDLOFT_TELEMETRY_LOSSTABLE_H

#include "telemetry/LogLine.h"
#include "telemetry/LossOutcome.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace knapweedloft::telemetry {

/// Counts from daemons' logs what became of the requests of callers, by time
/// and route: answered in time or late, refused and for which reason, failed
/// and with which status, tried again.
///
/// Memory is bounded: where the logs span too long a time, intervals are joined
/// until they suffice. Lines that cannot be read are counted and the first of
/// each file is named. Not thread-safe.
///
/// \code
///   LossTable Table({.m_Interval = absl::Seconds(2)});
///   Table.read("daemon-1.log", Stream);
///   fmt::print("{}", Table.text());
/// \endcode
class LossTable {
public:
  struct Options {
    absl::Duration m_Interval = absl::Seconds(1);
    /// Counts kept at most: of an interval, a route and an outcome each.
    std::size_t m_MaxCells = 100'000;
    /// Longest line that is read; the rest of a longer one is passed over.
    std::size_t m_MaxLineBytes = 64 << 10;
    /// Told the bytes that were read of a file, about once a megabyte.
    std::function<void(const std::string &Source, std::uint64_t Bytes)>
        m_OnProgress;
  };

  struct Count {
    std::uint64_t m_Requests = 0;
    absl::Duration m_Held; ///< Sum over the requests; zero where not known.

    void add(const Count &More) {
      m_Requests += More.m_Requests;
      m_Held += More.m_Held;
    }
  };

  struct Unreadable {
    std::string m_Source;
    std::uint64_t m_Lines = 0;
    std::uint64_t m_First = 0; ///< Number of the first of them, from 1.
  };

  explicit LossTable(Options Settings);

  void read(const std::string &Source, std::istream &From);

  /// \returns the sum over all times and routes of an outcome.
  [[nodiscard]] Count total(const LossOutcome &Of) const;
  [[nodiscard]] absl::Duration interval() const { return m_Interval; }
  [[nodiscard]] const std::vector<Unreadable> &unreadable() const {
    return m_Unreadable;
  }
  /// \returns lines that the daemons did not write for lack of budget.
  [[nodiscard]] std::uint64_t dropped() const { return m_Dropped; }

  /// \returns tables by time, by route and by outcome, the largest loss first.
  [[nodiscard]] std::string text() const;
  /// \returns the same counts as one JSON document.
  [[nodiscard]] std::string json() const;

private:
  struct Cell {
    std::int64_t m_Interval = 0; ///< Since the epoch, in m_Interval.
    std::string m_Route;
    LossOutcome m_Outcome;

    friend bool operator<(const Cell &Left, const Cell &Right) {
      return std::tie(Left.m_Interval, Left.m_Route, Left.m_Outcome) <
             std::tie(Right.m_Interval, Right.m_Route, Right.m_Outcome);
    }
  };

  [[nodiscard]] bool take(std::string_view Text);
  [[nodiscard]] bool count(const LogLine &Line);
  void add(const LogLine &Line, absl::Time At, LossOutcome Of);
  void joinIntervals();
  [[nodiscard]] std::string textByTime() const;
  [[nodiscard]] std::string textByRoute() const;
  [[nodiscard]] std::string textByOutcome() const;
  [[nodiscard]] std::string notes() const;

  Options m_Options;
  absl::Duration m_Interval;
  absl::btree_map<Cell, Count> m_Cells;
  std::vector<Unreadable> m_Unreadable; ///< One a file that has any.
  std::uint64_t m_Dropped = 0;
};

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_LOSSTABLE_H
