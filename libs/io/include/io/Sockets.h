#ifndef KNAPWEEDLOFT_IO_SOCKETS_H
#define KNAPWEEDLOFT_IO_SOCKETS_H

#include "io/FileDescriptor.h"
#include "model/Endpoint.h"

#include "absl/time/time.h"

#include <cstddef>
#include <optional>
#include <sys/types.h>

namespace knapweedloft::io {

/// Binds a non-blocking listening socket.
/// \throws IoError if \p At is not an IP number or cannot be bound.
FileDescriptor listenOn(const model::Endpoint &At);

/// Begins a non-blocking connect.
/// \returns an invalid descriptor if it failed at once.
FileDescriptor connectTo(const model::Endpoint &To);

/// \returns the address that \p Socket is bound to.
model::Endpoint localEndpoint(int Socket);

/// \returns the error that a non-blocking connect ended with, 0 if none.
int pendingError(int Socket);

/// Reads what is there without waiting.
/// \returns the bytes read, 0 at the peer's end, less if the connection is
/// broken; nothing if there is nothing now.
std::optional<ssize_t> receive(int Socket, void *To, std::size_t Room);

/// \returns how long ago the last bytes came, as the kernel counted; zero if it
/// does not tell.
absl::Duration sinceLastInput(int Socket);

/// \returns whether the peer has ended the connection, or its writing side;
/// bytes that it sent before may still wait.
bool isEndedByPeer(int Socket);

/// Ends the writing side only; the peer sees an orderly end.
void endWriting(int Socket);

/// Sends small frames at once instead of waiting for more bytes.
void setNoDelay(int Socket);

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_SOCKETS_H
