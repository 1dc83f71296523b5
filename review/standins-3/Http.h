#ifndef KNAPWEEDLOFT_REVIEW3_HTTP_H
#define KNAPWEEDLOFT_REVIEW3_HTTP_H

#include "model/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedloft::review3 {

using model::Endpoint;

/// \returns IP number and port of an address.
[[nodiscard]] std::string textOf(const Endpoint &At);

/// How a read ended.
enum class ReadEnd { Data, Closed, Broken, TimedOut };

/// A blocking TCP socket.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Fd) : m_Fd(Fd) {}
  Socket(Socket &&Other) noexcept : m_Fd(std::exchange(Other.m_Fd, -1)) {}
  Socket &operator=(Socket &&Other) noexcept;
  ~Socket();

  /// \param ReceiveBytes bound of the kernel's receive buffer; 0: the default.
  static Socket connectTo(const Endpoint &To, int ReceiveBytes = 0);
  static Socket listenOn(const Endpoint &At);

  [[nodiscard]] bool isValid() const { return m_Fd >= 0; }
  [[nodiscard]] int fd() const { return m_Fd; }
  /// \returns whether all was handed to the kernel.
  [[nodiscard]] bool send(std::string_view Bytes) const;
  ReadEnd receive(std::string &Into, std::size_t Room, double TimeoutS) const;
  /// Ends both directions, which wakes a thread that waits on the socket.
  void shutDown() const;

private:
  int m_Fd = -1;
};

/// The head of a message and where its body stands.
struct Head {
  std::string m_StartLine;
  std::vector<std::pair<std::string, std::string>> m_Fields;
  std::size_t m_BodyBytes = 0;

  /// \returns the value of a field, or nothing.
  [[nodiscard]] std::string field(std::string_view Name) const;
  /// \returns the status of an answer.
  [[nodiscard]] int status() const;
  /// \returns the method and the path of a request.
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string path() const;
};

/// Reads messages with a declared length from a socket.
class MessageReader {
public:
  explicit MessageReader(const Socket &From) : m_From(From) {}

  /// Reads up to the end of a head.
  ReadEnd readHead(Head &Into, double TimeoutS);
  /// Reads \p Bytes of a body; \p Body null: drops them.
  ReadEnd readBody(std::size_t Bytes, std::string *Body, double TimeoutS);
  /// \returns whether bytes have come that were not asked for yet.
  [[nodiscard]] bool hasBytes() const { return !m_Buffer.empty(); }

private:
  const Socket &m_From;
  std::string m_Buffer;
};

/// \returns seconds on the steady clock.
double steadySeconds();
void sleepSeconds(double Seconds);

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_HTTP_H
