#ifndef KNAPWEEDLOFT_HTTP_CLIENTIMPL_H
#define KNAPWEEDLOFT_HTTP_CLIENTIMPL_H

#include "ClientCall.h"
#include "http/HttpClient.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

namespace knapweedloft::http {

/// The libcurl multi handle behind a client and the thread that drives it
/// from an epoll set, so that an event costs the same however many calls wait.
class HttpClient::Impl {
public:
  explicit Impl(Options Settings);
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  CallId send(const std::string &Base, HttpRequest Request,
              absl::Duration Timeout, Done OnDone);
  void cancel(CallId Call);

private:
  /// What other threads ask of the client's thread. Without a method the order
  /// is to cancel.
  struct Order {
    CallId m_Id;
    std::string m_Base;
    HttpRequest m_Request;
    absl::Duration m_Timeout;
    Done m_OnDone;
    absl::Time m_Asked;
  };

  static int onSocket(CURL *, curl_socket_t Socket, int What, void *Self,
                      void *Known);
  static int onTimer(CURLM *, long Milliseconds, void *Self);

  void push(Order Work);
  void run();
  void drainOrders();
  /// Starts \p Work, or queues it while every connection is in use.
  void accept(Order Work);
  void start(Order Work);
  void startQueued();
  void dropExpired();
  /// Ends a call that was given up for \p What.
  void stop(CallId Call, Failure What = Failure::Cancelled);
  void limitHeld();
  void wait();
  void runTimer();
  void onEvent(int Socket, std::uint32_t Events);
  [[nodiscard]] int waitMilliseconds();
  void collect();
  void end(std::unique_ptr<ClientCall> Call, Failure What);
  static void fail(Order &Work, Failure What);
  [[nodiscard]] std::unique_ptr<ClientCall> makeCall();

  const Options m_Settings;
  CURLM *m_Multi;
  int m_Epoll;
  int m_Wake;
  std::atomic<CallId> m_LastId = 0;
  std::atomic<bool> m_IsStopping = false;

  absl::Mutex m_Mutex;
  std::vector<Order> m_Orders ABSL_GUARDED_BY(m_Mutex);

  // Of the client's thread alone.
  std::vector<Order> m_Taken;
  std::deque<Order> m_Queue;   ///< Waits for a connection.
  ClientSockets m_Sockets;     ///< Outlives the calls.
  std::size_t m_HeldBytes = 0; ///< Of unfinished answers; outlives the calls.
  absl::flat_hash_map<CallId, std::unique_ptr<ClientCall>> m_Calls;
  std::vector<std::unique_ptr<ClientCall>> m_Spare;
  absl::Time m_TimerAt = absl::InfiniteFuture();
  absl::Time m_NextQueueCheck = absl::InfinitePast();
  std::thread m_Thread;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CLIENTIMPL_H
