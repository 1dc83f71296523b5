#ifndef KNAPWEEDLOFT_HARNESS_CHECKEDANSWER_H
#define KNAPWEEDLOFT_HARNESS_CHECKEDANSWER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace knapweedloft::harness {

/// Names a call; the target writes it in its ledger and in its answer.
inline constexpr std::string_view CallIdHeader = "X-Call-Id";
/// How many bytes the answer shall have.
inline constexpr std::string_view AnswerBytesHeader = "X-Answer-Bytes";

/// \returns the answer of the stand-in target to \p CallId: the id, a line
/// feed and bytes that follow from the id, \p Bytes in all (at least the id and
/// the line feed). A caller can so tell its own whole answer from any other.
[[nodiscard]] std::string checkedAnswer(std::string_view CallId,
                                        std::size_t Bytes);

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_CHECKEDANSWER_H
