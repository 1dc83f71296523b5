#ifndef KNAPWEEDLOFT_LINK_RAWSOCKET_H
#define KNAPWEEDLOFT_LINK_RAWSOCKET_H

#include "io/FileDescriptor.h"
#include "link/LinkError.h"
#include "model/Endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace knapweedloft::link {

/// A blocking TCP socket on 127.0.0.1 that says whatever a test wants.
class RawSocket {
public:
  explicit RawSocket(io::FileDescriptor Socket) : m_Socket(std::move(Socket)) {}

  static RawSocket connect(const model::Endpoint &To) {
    RawSocket Result(io::FileDescriptor(::socket(AF_INET, SOCK_STREAM, 0)));
    sockaddr_in Address = loopback(To.m_Port);
    if (::connect(Result.get(), reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) != 0)
      throw LinkError("the test cannot connect");
    return Result;
  }

  static RawSocket listen() {
    RawSocket Result(io::FileDescriptor(::socket(AF_INET, SOCK_STREAM, 0)));
    sockaddr_in Address = loopback(0);
    if (::bind(Result.get(), reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) != 0 ||
        ::listen(Result.get(), 16) != 0)
      throw LinkError("the test cannot listen");
    return Result;
  }

  RawSocket accept() {
    return RawSocket(io::FileDescriptor(::accept(get(), nullptr, nullptr)));
  }

  [[nodiscard]] int get() const { return m_Socket.get(); }

  [[nodiscard]] model::Endpoint endpoint() const {
    sockaddr_in Address{};
    socklen_t Size = sizeof(Address);
    ::getsockname(get(), reinterpret_cast<sockaddr *>(&Address), &Size);
    return {"127.0.0.1", ntohs(Address.sin_port)};
  }

  void write(const std::string &Bytes) const {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      ssize_t Count =
          ::send(get(), Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return;
      Done += static_cast<std::size_t>(Count);
    }
  }

  /// \returns some bytes, none if the other end has closed.
  [[nodiscard]] std::string read() const {
    std::string Bytes(4096, '\0');
    ssize_t Count = ::recv(get(), Bytes.data(), Bytes.size(), 0);
    Bytes.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
    return Bytes;
  }

  /// Reads until the other end closes.
  void readToEnd() const {
    while (!read().empty())
      continue;
  }

private:
  static sockaddr_in loopback(std::uint16_t Port) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    return Address;
  }

  io::FileDescriptor m_Socket;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_RAWSOCKET_H
