#ifndef KNAPWEEDLOFT_HARNESS_PROGRAMRESULT_H
#define KNAPWEEDLOFT_HARNESS_PROGRAMRESULT_H

#include <string>
#include <vector>

namespace knapweedloft::harness {

/// What a program that ended by itself left.
struct ProgramResult {
  int m_Code = 0;
  std::string m_Output;
  std::string m_Errors;
};

/// Runs the program \p Command[0] beside the running one to its end.
[[nodiscard]] ProgramResult runProgram(std::vector<std::string> Command);

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_PROGRAMRESULT_H
