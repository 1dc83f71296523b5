#include "bench/LoopbackFloor.h"

#include "harness/HarnessError.h"

#include "absl/random/distributions.h"
#include "absl/time/clock.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace knapweedloft::bench {
namespace {

/// A pair of connected TCP sockets on 127.0.0.1.
struct Loopback {
  Loopback() {
    int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Any = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Length = sizeof Address;
    m_Near = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool IsUp = bind(Listener, Any, Length) == 0 && listen(Listener, 1) == 0 &&
                getsockname(Listener, Any, &Length) == 0 &&
                connect(m_Near, Any, Length) == 0;
    m_Far = IsUp ? accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC) : -1;
    close(Listener);
    if (m_Far < 0)
      throw harness::HarnessError("no loopback connection");
    const int On = 1;
    setsockopt(m_Near, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    setsockopt(m_Far, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  ~Loopback() {
    close(m_Near);
    close(m_Far);
  }
  Loopback(const Loopback &) = delete;
  Loopback &operator=(const Loopback &) = delete;

  int m_Near = -1;
  int m_Far = -1;
};

bool receive(int Socket, std::string &Bytes) {
  return recv(Socket, Bytes.data(), Bytes.size(), MSG_WAITALL) ==
         static_cast<ssize_t>(Bytes.size());
}

bool transmit(int Socket, const std::string &Bytes) {
  return send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

/// Passes requests from \p From on to \p To and the answers back.
void relay(int From, int To, std::string Request, std::string Answer) {
  while (receive(From, Request) && transmit(To, Request) &&
         receive(To, Answer) && transmit(From, Answer))
    continue;
  shutdown(To, SHUT_RDWR);
}

void respond(int From, std::string Request, const std::string &Answer) {
  while (receive(From, Request) && transmit(From, Answer))
    continue;
}

} // namespace

std::vector<absl::Duration> measureLoopbackFloor(const FloorPlan &Plan) {
  std::string Request(Plan.m_RequestBytes, 'r');
  std::string Answer(Plan.m_AnswerBytes, 'a');
  Loopback First;
  Loopback Second;
  Loopback Third;
  std::thread Entry(relay, First.m_Far, Second.m_Near, Request, Answer);
  std::thread Exit(relay, Second.m_Far, Third.m_Near, Request, Answer);
  std::thread Target(respond, Third.m_Far, Request, Answer);
  std::mt19937_64 Random(Plan.m_Seed);
  std::vector<absl::Duration> Latencies;
  const absl::Time End = absl::Now() + Plan.m_Duration;
  while (absl::Now() < End) {
    absl::SleepFor(
        absl::Seconds(absl::Exponential<double>(Random, Plan.m_PerSecond)));
    const absl::Time Sent = absl::Now();
    if (!transmit(First.m_Near, Request) || !receive(First.m_Near, Answer))
      throw harness::HarnessError("the relays broke");
    Latencies.push_back(absl::Now() - Sent);
  }
  shutdown(First.m_Near, SHUT_RDWR);
  Entry.join();
  Exit.join();
  Target.join();
  return Latencies;
}

} // namespace knapweedloft::bench
