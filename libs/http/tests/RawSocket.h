#ifndef KNAPWEEDLOFT_HTTP_RAWSOCKET_H
#define KNAPWEEDLOFT_HTTP_RAWSOCKET_H

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace knapweedloft::http {

/// A blocking TCP socket on a loopback address that sends and reads plain
/// bytes.
class RawSocket {
public:
  explicit RawSocket(int Socket) : m_Socket(Socket) {}
  RawSocket(RawSocket &&Other) noexcept
      : m_Socket(std::exchange(Other.m_Socket, -1)) {}
  RawSocket &operator=(RawSocket &&Other) noexcept {
    closeNow();
    m_Socket = std::exchange(Other.m_Socket, -1);
    return *this;
  }
  ~RawSocket() { closeNow(); }

  /// \p From: the address of this side; empty: the kernel chooses.
  static RawSocket connectTo(std::uint16_t Port,
                             const std::string &To = "127.0.0.1",
                             const std::string &From = "") {
    int Socket = socket(AF_INET, SOCK_STREAM, 0);
    if (!From.empty()) {
      sockaddr_in Own = addressOf(0, From);
      require(bind(Socket, reinterpret_cast<sockaddr *>(&Own), sizeof Own));
    }
    return connectBy(Socket, Port, To);
  }

  /// Takes over \p Socket, whose options are set, and connects it.
  static RawSocket connectBy(int Socket, std::uint16_t Port,
                             const std::string &To = "127.0.0.1") {
    RawSocket Result(Socket);
    sockaddr_in Address = addressOf(Port, To);
    require(connect(Result.m_Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof Address));
    return Result;
  }

  static RawSocket listenAnywhere() { return listenAt(0); }

  static RawSocket listenAt(std::uint16_t Port,
                            const std::string &At = "127.0.0.1") {
    RawSocket Result(socket(AF_INET, SOCK_STREAM, 0));
    int One = 1;
    setsockopt(Result.m_Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address = addressOf(Port, At);
    require(bind(Result.m_Socket, reinterpret_cast<sockaddr *>(&Address),
                 sizeof Address));
    require(listen(Result.m_Socket, 16));
    return Result;
  }

  [[nodiscard]] RawSocket acceptOne() const {
    return RawSocket(accept(m_Socket, nullptr, nullptr));
  }

  /// \returns whether a peer waits to be accepted or bytes to be read.
  [[nodiscard]] bool isReadable() const { return awaitInput(0); }

  /// Waits for that for a while.
  [[nodiscard]] bool awaitInput(int Milliseconds) const {
    pollfd Poll{.fd = m_Socket, .events = POLLIN, .revents = 0};
    return poll(&Poll, 1, Milliseconds) == 1;
  }

  [[nodiscard]] std::uint16_t port() const {
    sockaddr_in Address{};
    socklen_t Length = sizeof Address;
    getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    return ntohs(Address.sin_port);
  }

  /// Sends small pieces at once instead of waiting for more bytes.
  void setNoDelay() const {
    int One = 1;
    setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  }

  /// \returns the bytes that were sent and are not in the peer's socket, as far
  /// as is known.
  [[nodiscard]] int unacknowledged() const {
    int Bytes = 0;
    ioctl(m_Socket, SIOCOUTQ, &Bytes);
    return Bytes;
  }

  /// Closes the connection with a reset.
  void reset() {
    linger AtOnce{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof AtOnce);
    closeNow();
  }

  /// Wakes a thread that waits in acceptOne() or reads.
  void shutDown() const { shutdown(m_Socket, SHUT_RDWR); }

  /// Ends the sending side in order.
  void endWriting() const { shutdown(m_Socket, SHUT_WR); }

  [[nodiscard]] bool isOpen() const { return m_Socket >= 0; }

  bool sendAll(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      ssize_t Sent = send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  /// Reads until what was read ends with \p End or the peer closes.
  [[nodiscard]] std::string readUntil(std::string_view End) const {
    std::string Result;
    char Byte = 0;
    while (!Result.ends_with(End) && recv(m_Socket, &Byte, 1, 0) == 1)
      Result += Byte;
    return Result;
  }

  /// Reads some of what has come, without waiting.
  [[nodiscard]] std::string readSome() const {
    char Bytes[4096];
    ssize_t Count = recv(m_Socket, Bytes, sizeof Bytes, MSG_DONTWAIT);
    return {Bytes, static_cast<std::size_t>(std::max<ssize_t>(Count, 0))};
  }

  /// Reads what has come, without waiting.
  [[nodiscard]] std::string readNow() const {
    std::string Result;
    while (true) {
      std::string Next = readSome();
      if (Next.empty())
        return Result;
      Result += Next;
    }
  }

  [[nodiscard]] std::string readToEnd() const {
    std::string Result;
    char Bytes[4096];
    while (true) {
      ssize_t Count = recv(m_Socket, Bytes, sizeof Bytes, 0);
      if (Count <= 0)
        return Result;
      Result.append(Bytes, static_cast<std::size_t>(Count));
    }
  }

  void closeNow() {
    if (m_Socket >= 0)
      close(std::exchange(m_Socket, -1));
  }

private:
  static void require(int Result) {
    if (Result != 0)
      throw std::system_error(errno, std::generic_category());
  }

  static sockaddr_in addressOf(std::uint16_t Port, const std::string &Number) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    inet_pton(AF_INET, Number.c_str(), &Address.sin_addr);
    return Address;
  }

  int m_Socket;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_RAWSOCKET_H
