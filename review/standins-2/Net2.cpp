#include "Net2.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review2 {
namespace {

using knapweedloft::model::Endpoint;

constexpr std::size_t PieceBytes = 64 << 10;
constexpr std::size_t MaxHeadBytes = 64 << 10;

sockaddr_in addressOf(const Endpoint &Of) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Of.m_Port);
  ::inet_pton(AF_INET, Of.m_Address.c_str(), &At.sin_addr);
  return At;
}

timeval timeOf(double Seconds) {
  timeval Time{};
  Time.tv_sec = static_cast<time_t>(Seconds);
  Time.tv_usec =
      static_cast<suseconds_t>((Seconds - std::floor(Seconds)) * 1e6);
  return Time;
}

} // namespace

double now() {
  static const auto Began = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
      .count();
}

void pauseFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char One) {
    return static_cast<char>(std::tolower(One));
  });
  return Text;
}

std::string Head::field(const std::string &Name) const {
  auto Found = m_Fields.find(lower(Name));
  return Found == m_Fields.end() ? std::string() : Found->second;
}

std::size_t Head::length() const {
  std::string Text = field("Content-Length");
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

int Head::status() const {
  return m_Start.size() > 12 ? std::atoi(m_Start.c_str() + 9) : 0;
}

std::string Head::method() const {
  return m_Start.substr(0, m_Start.find(' '));
}

std::string Head::path() const {
  std::size_t First = m_Start.find(' ');
  std::size_t Last = m_Start.rfind(' ');
  return First == std::string::npos
             ? std::string()
             : m_Start.substr(First + 1, Last - First - 1);
}

Conn::Conn(Conn &&Other) noexcept
    : m_Fd(std::exchange(Other.m_Fd, -1)), m_Buffer(std::move(Other.m_Buffer)) {
}

Conn &Conn::operator=(Conn &&Other) noexcept {
  close();
  m_Fd = std::exchange(Other.m_Fd, -1);
  m_Buffer = std::move(Other.m_Buffer);
  return *this;
}

Conn::~Conn() { close(); }

void Conn::close() {
  if (m_Fd >= 0)
    ::close(std::exchange(m_Fd, -1));
}

void Conn::reset() {
  if (m_Fd < 0)
    return;
  linger Now{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  close();
}

void Conn::setTimeout(double Seconds) {
  timeval Time = timeOf(Seconds);
  ::setsockopt(m_Fd, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
  ::setsockopt(m_Fd, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof(Time));
}

bool Conn::hasInput() const {
  char Byte = 0;
  return !m_Buffer.empty() ||
         ::recv(m_Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Conn::isEnded() const {
  pollfd Poll{.fd = m_Fd, .events = POLLRDHUP, .revents = 0};
  return ::poll(&Poll, 1, 0) == 1 && Poll.revents != 0;
}

Conn Conn::connectTo(const Endpoint &To, double TimeoutS, int ReceiveBytes) {
  Conn Made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!Made.isOpen())
    return {};
  int One = 1;
  ::setsockopt(Made.m_Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  if (ReceiveBytes > 0)
    ::setsockopt(Made.m_Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof(ReceiveBytes));
  Made.setTimeout(TimeoutS);
  sockaddr_in At = addressOf(To);
  if (::connect(Made.m_Fd, reinterpret_cast<const sockaddr *>(&At),
                sizeof(At)) != 0)
    return {};
  return Made;
}

bool Conn::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Taken =
        ::send(m_Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Taken < 0 && errno == EINTR)
      continue;
    if (Taken <= 0)
      return false;
    Sent += static_cast<std::size_t>(Taken);
  }
  return true;
}

bool Conn::fill(std::size_t Most) {
  std::size_t Before = m_Buffer.size();
  m_Buffer.resize(Before + Most);
  ssize_t Taken = 0;
  do
    Taken = ::recv(m_Fd, m_Buffer.data() + Before, Most, 0);
  while (Taken < 0 && errno == EINTR);
  m_Buffer.resize(Before +
                  static_cast<std::size_t>(std::max<ssize_t>(Taken, 0)));
  return Taken > 0;
}

std::optional<Head> Conn::readHead() {
  std::size_t End = std::string::npos;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (m_Buffer.size() > MaxHeadBytes || !fill(PieceBytes))
      return std::nullopt;
  Head Read;
  std::string Text = m_Buffer.substr(0, End + 2);
  m_Buffer.erase(0, End + 4);
  std::size_t At = Text.find("\r\n");
  Read.m_Start = Text.substr(0, At);
  At += 2;
  while (At < Text.size()) {
    std::size_t Line = Text.find("\r\n", At);
    std::size_t Colon = Text.find(':', At);
    if (Colon < Line) {
      std::size_t Value = Text.find_first_not_of(' ', Colon + 1);
      Read.m_Fields[lower(Text.substr(At, Colon - At))] =
          Value < Line ? Text.substr(Value, Line - Value) : std::string();
    }
    At = Line + 2;
  }
  return Read;
}

bool Conn::readBody(std::size_t Bytes, std::string *Into,
                    std::size_t PerSecond) {
  while (Bytes > 0) {
    if (m_Buffer.empty()) {
      constexpr double Tick = 0.02;
      std::size_t Most = PieceBytes;
      if (PerSecond > 0) {
        pauseFor(Tick);
        Most = std::clamp<std::size_t>(
            static_cast<std::size_t>(Tick * static_cast<double>(PerSecond)), 1,
            PieceBytes);
      }
      if (!fill(std::min(Most, Bytes)))
        return false;
    }
    std::size_t Taken = std::min(Bytes, m_Buffer.size());
    if (Into)
      Into->append(m_Buffer, 0, Taken);
    m_Buffer.erase(0, Taken);
    Bytes -= Taken;
  }
  return true;
}

int listenAt(const Endpoint &To, int Backlog) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = addressOf(To);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) != 0 ||
      ::listen(Fd, Backlog) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

} // namespace review2
