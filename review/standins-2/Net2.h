#ifndef KNAPWEEDLOFT_REVIEW_STANDINS_2_NET2_H
#define KNAPWEEDLOFT_REVIEW_STANDINS_2_NET2_H

#include "model/Endpoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace review2 {

using Headers = std::map<std::string, std::string>; ///< Names in lower case.

/// Seconds of the steady clock since the program began.
double now();
void pauseFor(double Seconds);

/// The head of a request or an answer.
struct Head {
  std::string m_Start; ///< The first line.
  Headers m_Fields;
  [[nodiscard]] std::string field(const std::string &Name) const;
  [[nodiscard]] std::size_t length() const;
  [[nodiscard]] int status() const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string path() const;
};

/// A blocking TCP connection. Each read gives up after the time-out.
class Conn {
public:
  Conn() = default;
  explicit Conn(int Fd) : m_Fd(Fd) {}
  Conn(Conn &&Other) noexcept;
  Conn &operator=(Conn &&Other) noexcept;
  Conn(const Conn &) = delete;
  Conn &operator=(const Conn &) = delete;
  ~Conn();

  /// \p ReceiveBytes: size of the receive buffer; 0: the kernel's choice.
  static Conn connectTo(const knapweedloft::model::Endpoint &To,
                        double TimeoutS, int ReceiveBytes = 0);
  [[nodiscard]] bool isOpen() const { return m_Fd >= 0; }
  void close();
  /// Closes with a reset.
  void reset();
  void setTimeout(double Seconds);
  /// \returns whether bytes wait to be read.
  [[nodiscard]] bool hasInput() const;
  /// \returns whether the peer has closed.
  [[nodiscard]] bool isEnded() const;
  bool send(const std::string &Bytes);
  std::optional<Head> readHead();
  /// \returns whether all of it came. \p PerSecond: pace of reading in bytes;
  /// 0: as fast as it comes.
  bool readBody(std::size_t Bytes, std::string *Into = nullptr,
                std::size_t PerSecond = 0);

private:
  bool fill(std::size_t Most);
  int m_Fd = -1;
  std::string m_Buffer;
};

int listenAt(const knapweedloft::model::Endpoint &At, int Backlog = 1024);
std::string lower(std::string Text);

} // namespace review2

#endif // KNAPWEEDLOFT_REVIEW_STANDINS_2_NET2_H
