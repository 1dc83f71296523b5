#ifndef KNAPWEEDLOFT_LINK_LINKERROR_H
#define KNAPWEEDLOFT_LINK_LINKERROR_H

#include <stdexcept>

namespace knapweedloft::link {

/// A link endpoint could not be set up, or a frame is not valid.
class LinkError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_LINKERROR_H
