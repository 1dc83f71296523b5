#ifndef KNAPWEEDLOFT_STATE_STATEERROR_H
#define KNAPWEEDLOFT_STATE_STATEERROR_H

#include <stdexcept>

namespace knapweedloft::state {

/// A record, an image or a resource's text is not valid.
class StateError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_STATEERROR_H
