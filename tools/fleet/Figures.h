#ifndef KNAPWEEDLOFT_FLEET_FIGURES_H
#define KNAPWEEDLOFT_FLEET_FIGURES_H

#include <fmt/format.h>

#include <cstdio>
#include <string>

namespace knapweedloft::fleet {

/// Prints figures beside their targets and remembers whether any was missed.
class Figures {
public:
  void note(const std::string &Text) {
    fmt::print("{}\n", Text);
    std::fflush(stdout);
  }

  /// Prints a figure that must not exceed \p Target.
  void atMost(const std::string &Name, double Value, double Target) {
    verdict(Name, Value, "at most", Target, Value <= Target);
  }

  /// Prints a figure that must reach \p Target.
  void atLeast(const std::string &Name, double Value, double Target) {
    verdict(Name, Value, "at least", Target, Value >= Target);
  }

  /// Adds to the last line without a target.
  void add(const std::string &Key, double Value) {
    m_Line += fmt::format(" {}={:g}", Key, Value);
  }

  [[nodiscard]] bool isShort() const { return m_IsShort; }
  [[nodiscard]] const std::string &line() const { return m_Line; }

private:
  void verdict(const std::string &Name, double Value, const char *Sense,
               double Target, bool IsMet) {
    note(fmt::format("  {:<44} {:>10.4g}  {} {:g}: {}", Name, Value, Sense,
                     Target, IsMet ? "ok" : "short"));
    m_IsShort |= !IsMet;
  }

  std::string m_Line;
  bool m_IsShort = false;
};

} // namespace knapweedloft::fleet

#endif // KNAPWEEDLOFT_FLEET_FIGURES_H
