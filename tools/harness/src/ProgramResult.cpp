#include "harness/ProgramResult.h"

#include "harness/Process.h"
#include "harness/Site.h"

namespace knapweedloft::harness {

ProgramResult runProgram(std::vector<std::string> Command) {
  Command[0] = programPath(Command[0]);
  Process Child(Command);
  ProgramResult Result;
  Result.m_Code = Child.wait();
  Result.m_Output = Child.output();
  Result.m_Errors = Child.errors();
  return Result;
}

} // namespace knapweedloft::harness
