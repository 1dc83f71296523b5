#ifndef KNAPWEEDLOFT_APP_KEYHOMES_H
#define KNAPWEEDLOFT_APP_KEYHOMES_H

#include "model/Member.h"
#include "state/Snapshot.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// \returns the members of \p Service that are neither withdrawn nor dead,
/// the home of \p Name first, \p Count at most.
[[nodiscard]] std::vector<model::Member>
homesOf(const std::string &Name, const std::string &Service,
        const state::Snapshot &State,
        const std::function<bool(const model::Member &)> &IsAlive,
        std::size_t Count);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_KEYHOMES_H
