#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace knapweedloft::review3 {
namespace {

constexpr std::size_t ReadBytes = 64 << 10;
constexpr int Backlog = 512;

sockaddr_in toSystem(const Endpoint &At) {
  sockaddr_in System{};
  System.sin_family = AF_INET;
  System.sin_port = htons(At.m_Port);
  ::inet_pton(AF_INET, At.m_Address.c_str(), &System.sin_addr);
  return System;
}

int newSocket() {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  return Fd;
}

std::string word(const std::string &Line, int Index) {
  std::size_t From = 0;
  for (; Index > 0; --Index)
    From = std::min(Line.find(' ', From), Line.size() - 1) + 1;
  return Line.substr(From, Line.find(' ', From) - From);
}

} // namespace

std::string textOf(const Endpoint &At) {
  return At.m_Address + ":" + std::to_string(At.m_Port);
}

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(m_Fd, Other.m_Fd);
  return *this;
}

Socket::~Socket() {
  if (m_Fd >= 0)
    ::close(m_Fd);
}

Socket Socket::connectTo(const Endpoint &To, int ReceiveBytes) {
  Socket Made(newSocket());
  if (ReceiveBytes > 0)
    ::setsockopt(Made.m_Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
  sockaddr_in System = toSystem(To);
  if (::connect(Made.m_Fd, reinterpret_cast<sockaddr *>(&System),
                sizeof System) != 0)
    return {};
  return Made;
}

Socket Socket::listenOn(const Endpoint &At) {
  Socket Made(newSocket());
  sockaddr_in System = toSystem(At);
  if (::bind(Made.m_Fd, reinterpret_cast<sockaddr *>(&System), sizeof System) !=
          0 ||
      ::listen(Made.m_Fd, Backlog) != 0)
    return {};
  return Made;
}

bool Socket::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Taken = ::send(m_Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Taken < 0 && errno == EINTR)
      continue;
    if (Taken <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Taken));
  }
  return true;
}

ReadEnd Socket::receive(std::string &Into, std::size_t Room,
                        double TimeoutS) const {
  pollfd Poll{.fd = m_Fd, .events = POLLIN, .revents = 0};
  if (::poll(&Poll, 1, static_cast<int>(std::max(TimeoutS, 0.0) * 1000)) <= 0)
    return ReadEnd::TimedOut;
  std::size_t Before = Into.size();
  Into.resize(Before + Room);
  ssize_t Bytes = ::recv(m_Fd, Into.data() + Before, Room, 0);
  Into.resize(Before + static_cast<std::size_t>(std::max<ssize_t>(Bytes, 0)));
  if (Bytes > 0)
    return ReadEnd::Data;
  return Bytes == 0 ? ReadEnd::Closed : ReadEnd::Broken;
}

void Socket::shutDown() const { ::shutdown(m_Fd, SHUT_RDWR); }

std::string Head::field(std::string_view Name) const {
  for (const auto &[Key, Value] : m_Fields)
    if (Key.size() == Name.size() &&
        ::strncasecmp(Key.data(), Name.data(), Key.size()) == 0)
      return Value;
  return {};
}

int Head::status() const { return std::atoi(word(m_StartLine, 1).c_str()); }
std::string Head::method() const { return word(m_StartLine, 0); }
std::string Head::path() const { return word(m_StartLine, 1); }

ReadEnd MessageReader::readHead(Head &Into, double TimeoutS) {
  double Until = steadySeconds() + TimeoutS;
  std::size_t End = 0;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos) {
    ReadEnd Got = m_From.receive(m_Buffer, ReadBytes, Until - steadySeconds());
    if (Got != ReadEnd::Data)
      return Got;
  }
  Into = {};
  std::string Text = m_Buffer.substr(0, End + 2);
  m_Buffer.erase(0, End + 4);
  std::size_t At = Text.find("\r\n");
  Into.m_StartLine = Text.substr(0, At);
  for (At += 2; At < Text.size();) {
    std::size_t LineEnd = Text.find("\r\n", At);
    std::string Line = Text.substr(At, LineEnd - At);
    At = LineEnd + 2;
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Into.m_Fields.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                          ? std::string()
                                                          : Line.substr(Value));
  }
  Into.m_BodyBytes = static_cast<std::size_t>(
      std::strtoull(Into.field("Content-Length").c_str(), nullptr, 10));
  return ReadEnd::Data;
}

ReadEnd MessageReader::readBody(std::size_t Bytes, std::string *Body,
                                double TimeoutS) {
  double Until = steadySeconds() + TimeoutS;
  while (Bytes > 0) {
    if (m_Buffer.empty()) {
      ReadEnd Got = m_From.receive(m_Buffer, std::min(ReadBytes, Bytes),
                                   Until - steadySeconds());
      if (Got != ReadEnd::Data)
        return Got;
    }
    std::size_t Part = std::min(Bytes, m_Buffer.size());
    if (Body)
      Body->append(m_Buffer, 0, Part);
    m_Buffer.erase(0, Part);
    Bytes -= Part;
  }
  return ReadEnd::Data;
}

double steadySeconds() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void sleepSeconds(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

} // namespace knapweedloft::review3
