#ifndef KNAPWEEDLOFT_HTTP_LOOPFIXTURE_H
#define KNAPWEEDLOFT_HTTP_LOOPFIXTURE_H

#include "RawSocket.h"
#include "http/LoopClient.h"
#include "http/LoopServer.h"
#include "http/MessageText.h"
#include "io/EventLoop.h"

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "gtest/gtest.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::http {

/// A server and a client on one loop of their own thread, for tests that play
/// the other side by plain sockets. Whatever touches them is done on the loop.
class LoopFixture : public testing::Test {
protected:
  struct Taken {
    ExchangeId m_Id;
    ParsedMessage m_Message;
  };

  LoopFixture() { m_Loop.start("test"); }

  ~LoopFixture() override {
    onLoop([this] {
      m_Client.reset();
      m_Server.reset();
    });
    m_Loop.stop();
  }

  void onLoop(const std::function<void()> &Task) {
    absl::Notification Done;
    m_Loop.post([&] {
      Task();
      Done.Notify();
    });
    Done.WaitForNotification();
  }

  void serve(LoopServer::Options Options = {}) {
    Options.m_At = {"127.0.0.1", 0};
    Options.m_Hooks.m_OnRequest = [this](ExchangeId Id, ParsedMessage Message,
                                         const std::string &) {
      absl::MutexLock Lock(&m_Mutex);
      m_Taken.push_back({Id, std::move(Message)});
    };
    onLoop([&] {
      m_Server = std::make_unique<LoopServer>(m_Loop, std::move(Options));
    });
  }

  /// Waits for request number \p Index.
  Taken taken(std::size_t Index) {
    absl::MutexLock Lock(&m_Mutex);
    auto HasCome = [&] { return m_Taken.size() > Index; };
    m_Mutex.Await(absl::Condition(&HasCome));
    return m_Taken[Index];
  }

  void answer(const Taken &Request, const std::string &Body) {
    onLoop([&] { m_Server->answer(Request.m_Id, {.m_Body = Body}); });
  }

  io::EventLoop m_Loop;
  std::unique_ptr<LoopServer> m_Server;
  std::unique_ptr<LoopClient> m_Client;
  absl::Mutex m_Mutex;
  std::vector<Taken> m_Taken ABSL_GUARDED_BY(m_Mutex);
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_LOOPFIXTURE_H
