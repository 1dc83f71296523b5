#ifndef KNAPWEEDLOFT_USAGEERROR_H
#define KNAPWEEDLOFT_USAGEERROR_H

#include <stdexcept>

namespace knapweedloft {

/// Arguments or input that cannot be used; nothing was tried.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_USAGEERROR_H
