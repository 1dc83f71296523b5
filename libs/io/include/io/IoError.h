#ifndef KNAPWEEDLOFT_IO_IOERROR_H
#define KNAPWEEDLOFT_IO_IOERROR_H

#include <stdexcept>

namespace knapweedloft::io {

/// A socket or an event loop could not be set up.
class IoError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_IOERROR_H
