#ifndef KNAPWEEDLOFT_CAPACITY_SHEET_H
#define KNAPWEEDLOFT_CAPACITY_SHEET_H

#include "LinearFit.h"

#include <string>
#include <vector>

namespace knapweedloft::capacity {

/// Prints slopes and rows with their targets, and counts what falls short.
///
/// \code
///   Sheet Page;
///   LinearFit Line = Page.slope("state.bytes", "members", Samples);
///   Page.row("memory.state", Line.at(5800), "B", 32 << 20);
/// \endcode
class Sheet {
public:
  /// Fits and prints one line, with its samples.
  LinearFit slope(const std::string &Name, const std::string &Size,
                  const std::vector<Sample> &Samples);

  /// Prints a figure at the size to come beside its target, at most which it
  /// may be.
  void row(const std::string &Name, double Value, const std::string &Unit,
           double AtMost);

  /// Prints a figure that has no target of its own.
  void note(const std::string &Name, double Value, const std::string &Unit);

  [[nodiscard]] int shortRows() const { return m_Short; }
  [[nodiscard]] int rows() const { return m_Rows; }

private:
  int m_Rows = 0;
  int m_Short = 0;
};

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_SHEET_H
