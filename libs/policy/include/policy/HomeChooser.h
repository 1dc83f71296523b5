#ifndef KNAPWEEDLOFT_POLICY_HOMECHOOSER_H
#define KNAPWEEDLOFT_POLICY_HOMECHOOSER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::policy {

/// Ranks \p Names for \p Subject by rendezvous hashing. The first is the home
/// of the subject, the second keeps its copy: when the home goes, the second
/// has become the home, and no other subject has moved.
/// \returns indices into \p Names, the first rank first, \p Count at most.
[[nodiscard]] std::vector<std::size_t>
rankHomes(std::string_view Subject, const std::vector<std::string> &Names,
          std::size_t Count);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_HOMECHOOSER_H
