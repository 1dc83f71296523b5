#ifndef KNAPWEEDLOFT_HARNESS_HARNESSERROR_H
#define KNAPWEEDLOFT_HARNESS_HARNESSERROR_H

#include <stdexcept>

namespace knapweedloft::harness {

/// A process, a site or a call could not be brought up.
class HarnessError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_HARNESSERROR_H
