#ifndef KNAPWEEDLOFT_HTTP_VIRTUALTIMEFIXTURE_H
#define KNAPWEEDLOFT_HTTP_VIRTUALTIMEFIXTURE_H

#include "RawSocket.h"
#include "http/LoopServer.h"
#include "http/MessageParser.h"
#include "io/EventLoop.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedloft::http {

/// A server whose limits of time are judged by a clock that the test sets, and
/// one caller. All run on the test's thread, so that a schedule repeats.
class VirtualTimeFixture : public testing::Test {
protected:
  struct Taken {
    ExchangeId m_Id;
    std::string m_Path;
    absl::Time m_At; ///< When it was handed over.
    bool m_IsAnswered = false;
  };

  static constexpr absl::Duration HeaderTimeout = absl::Seconds(3);
  static constexpr absl::Duration IdleTimeout = absl::Seconds(15);
  /// As often as the server looks at its limits.
  static constexpr absl::Duration SweepInterval = absl::Milliseconds(500);

  /// More than it takes a busy machine to deliver some bytes.
  static constexpr absl::Duration MaxWait = absl::Seconds(10);

  static LoopServer::Limits limits() {
    LoopServer::Limits Limits;
    Limits.m_MaxBodyBytes = 100'000;
    Limits.m_HeaderTimeout = HeaderTimeout;
    Limits.m_IdleTimeout = IdleTimeout;
    return Limits;
  }

  void serve(LoopServer::Options Options = {}) {
    Options.m_At = {"127.0.0.1", 0};
    Options.m_Limits = limits();
    Options.m_Clock = [this] { return m_Now; };
    Options.m_Hooks.m_OnRequest = [this](ExchangeId Id,
                                         const ParsedMessage &Message,
                                         const std::string &) {
      m_Taken.push_back({Id, Message.m_Path, m_Now});
    };
    Options.m_Hooks.m_OnGone = [this](ExchangeId, CallerConnectionEnd Why) {
      m_Gone.push_back(Why);
    };
    m_MaxPipelined = Options.m_MaxPipelined;
    m_Server = std::make_unique<LoopServer>(m_Loop, std::move(Options));
    m_Caller = RawSocket::connectTo(m_Server->port());
    m_Caller.setNoDelay();
    ASSERT_TRUE(runUntil([this] { return m_Server->connections() > 0; }));
  }

  /// Runs one round of the loop.
  void handleReady() {
    m_Loop.post([this] { m_Loop.stop(); });
    m_Loop.run();
  }

  /// Runs rounds, one at least, until \p IsReached.
  /// \returns whether it was reached.
  bool runUntil(const std::function<bool()> &IsReached) {
    absl::Time GiveUpAt = absl::Now() + MaxWait;
    do
      handleReady();
    while (!IsReached() && absl::Now() < GiveUpAt);
    return IsReached();
  }

  /// Sends \p Bytes and waits until the server has read all that it reads.
  void send(std::string_view Bytes) {
    ASSERT_TRUE(m_Caller.sendAll(Bytes)) << "the server closed";
    m_SentBytes += Bytes.size();
    settle();
  }

  void settle() {
    auto HasRead = [this] {
      return m_Server->connections() == 0 || isFull() ||
             m_Server->counts().m_BytesRead >= m_SentBytes;
    };
    ASSERT_TRUE(runUntil(HasRead)) << "the server does not read";
  }

  /// \returns whether the server reads no further for the requests that are
  /// not answered.
  [[nodiscard]] bool isFull() const {
    return m_Taken.size() - written() >= m_MaxPipelined;
  }

  void answer(std::size_t Index) {
    if (std::exchange(m_Taken[Index].m_IsAnswered, true))
      return;
    m_Server->answer(m_Taken[Index].m_Id, {.m_Body = m_Taken[Index].m_Path});
    settle();
  }

  void answerAll() {
    for (std::size_t Index = 0; Index < m_Taken.size(); ++Index)
      answer(Index);
  }

  /// Lets \p Time pass in steps in which the server looks at its limits.
  void pass(absl::Duration Time) {
    absl::Time Until = m_Now + Time;
    while (m_Now < Until) {
      m_Now = std::min(m_Now + SweepInterval, Until);
      m_Server->endOverdue();
      handleReady();
    }
  }

  /// Waits until the caller has got \p AtLeast answers.
  /// \returns status and body of those that it has got so far.
  std::vector<std::pair<int, std::string>> answers(std::size_t AtLeast = 0) {
    (void)runUntil([&] {
      m_Answers.feed(m_Caller.readNow());
      while (m_Answers.hasMessage()) {
        ParsedMessage Next = m_Answers.take();
        m_Got.emplace_back(Next.m_Status, Next.m_Body);
      }
      return m_Got.size() >= AtLeast;
    });
    return m_Got;
  }

  /// Waits until the caller has got \p AtLeast answers.
  /// \returns how many of those that it has got have the status.
  [[nodiscard]] std::size_t countOf(int Status, std::size_t AtLeast = 0) {
    std::size_t Count = 0;
    for (const auto &[Seen, Body] : answers(AtLeast))
      Count += Seen == Status ? 1 : 0;
    return Count;
  }

  [[nodiscard]] std::uint64_t closedBy(CallerConnectionEnd Why) const {
    return m_Server->counts().m_Closed[static_cast<std::size_t>(Why)];
  }

  [[nodiscard]] std::uint64_t unansweredBy(CallerConnectionEnd Why) const {
    return m_Server->counts().m_Unanswered[static_cast<std::size_t>(Why)];
  }

  io::EventLoop m_Loop;
  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::unique_ptr<LoopServer> m_Server;
  RawSocket m_Caller{-1};
  std::vector<Taken> m_Taken;
  std::vector<CallerConnectionEnd> m_Gone; ///< Why requests were given up.

private:
  /// \returns how many answers the server could write in order.
  [[nodiscard]] std::size_t written() const {
    auto First =
        std::find_if(m_Taken.begin(), m_Taken.end(),
                     [](const Taken &One) { return !One.m_IsAnswered; });
    return static_cast<std::size_t>(First - m_Taken.begin());
  }

  std::size_t m_MaxPipelined = 0;
  std::size_t m_SentBytes = 0;
  MessageParser m_Answers{MessageKind::Response, {}};
  std::vector<std::pair<int, std::string>> m_Got;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_VIRTUALTIMEFIXTURE_H
