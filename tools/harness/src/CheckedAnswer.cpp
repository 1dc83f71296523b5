#include "harness/CheckedAnswer.h"

#include <cstdint>

namespace knapweedloft::harness {

std::string checkedAnswer(std::string_view CallId, std::size_t Bytes) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037U; // FNV-1a
  constexpr std::uint64_t Prime = 1099511628211U;
  std::string Answer(CallId);
  Answer += '\n';
  std::uint64_t State = OffsetBasis;
  for (char Character : CallId)
    State = (State ^ static_cast<unsigned char>(Character)) * Prime;
  while (Answer.size() < Bytes) {
    State = (State ^ Answer.size()) * Prime;
    Answer += static_cast<char>('a' + (State >> 32) % 26);
  }
  return Answer;
}

} // namespace knapweedloft::harness
