#ifndef KNAPWEEDLOFT_HTTP_HTTPERROR_H
#define KNAPWEEDLOFT_HTTP_HTTPERROR_H

#include <stdexcept>

namespace knapweedloft::http {

/// A server or client could not be set up.
class HttpError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_HTTPERROR_H
