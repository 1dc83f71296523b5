#ifndef KNAPWEEDLOFT_APP_APPERROR_H
#define KNAPWEEDLOFT_APP_APPERROR_H

#include <stdexcept>

namespace knapweedloft::app {

/// A component could not do what it was asked, or was given bad input.
class AppError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APPERROR_H
