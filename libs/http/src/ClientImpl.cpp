#include "ClientImpl.h"

#include "SteadyNow.h"
#include "http/HttpError.h"

#include <algorithm>
#include <array>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace knapweedloft::http {
namespace {

constexpr std::size_t EventsPerWait = 64;
constexpr std::size_t MaxSpareCalls = 256;
/// How late a queued call may find that its time is over.
constexpr absl::Duration QueueCheckInterval = absl::Milliseconds(20);
/// Kept connections idle for longer are not used again.
constexpr long MaxIdleSeconds = 20;

void initLibrary() {
  static const CURLcode Result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Result != CURLE_OK)
    throw HttpError("libcurl cannot be set up");
}

std::uint32_t epollEventsOf(int What) {
  std::uint32_t Events = 0;
  if ((What & CURL_POLL_IN) != 0)
    Events |= EPOLLIN;
  if ((What & CURL_POLL_OUT) != 0)
    Events |= EPOLLOUT;
  return Events;
}

int curlEventsOf(std::uint32_t Events) {
  int Result = 0;
  if ((Events & (EPOLLIN | EPOLLHUP)) != 0)
    Result |= CURL_CSELECT_IN;
  // libcurl then reads before it writes: a write that meets the end of the
  // connection ends the call, with what has come unread.
  if ((Events & EPOLLOUT) != 0)
    Result |= CURL_CSELECT_IN | CURL_CSELECT_OUT;
  if ((Events & EPOLLERR) != 0)
    Result |= CURL_CSELECT_ERR;
  return Result;
}

} // namespace

HttpClient::Impl::Impl(Options Settings)
    : m_Settings(std::move(Settings)), m_Multi(nullptr),
      m_Epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_Wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  initLibrary();
  m_Multi = curl_multi_init();
  if (m_Multi == nullptr || m_Epoll < 0 || m_Wake < 0)
    throw HttpError("an HTTP client cannot be set up");
  curl_multi_setopt(m_Multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
  curl_multi_setopt(m_Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_Multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
  curl_multi_setopt(m_Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(m_Multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(m_Settings.m_MaxIdleConnections));
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = m_Wake;
  epoll_ctl(m_Epoll, EPOLL_CTL_ADD, m_Wake, &Event);
  m_Thread = std::thread([this] { run(); });
  pthread_setname_np(m_Thread.native_handle(),
                     m_Settings.m_ThreadName.substr(0, 15).c_str());
}

HttpClient::Impl::~Impl() {
  m_IsStopping = true;
  std::uint64_t One = 1;
  [[maybe_unused]] ssize_t Written = write(m_Wake, &One, sizeof One);
  m_Thread.join();
  for (auto &[Id, Call] : m_Calls)
    curl_multi_remove_handle(m_Multi, Call->handle());
  m_Calls.clear();
  m_Spare.clear();
  curl_multi_cleanup(m_Multi);
  close(m_Wake);
  close(m_Epoll);
}

HttpClient::CallId HttpClient::Impl::send(const std::string &Base,
                                          HttpRequest Request,
                                          absl::Duration Timeout, Done OnDone) {
  CallId Id = ++m_LastId;
  push({Id, Base, std::move(Request), Timeout, std::move(OnDone), steadyNow()});
  return Id;
}

void HttpClient::Impl::cancel(CallId Call) {
  Order Work;
  Work.m_Id = Call;
  push(std::move(Work));
}

void HttpClient::Impl::push(Order Work) {
  bool IsFirst;
  {
    absl::MutexLock Lock(&m_Mutex);
    IsFirst = m_Orders.empty();
    m_Orders.push_back(std::move(Work));
  }
  // The thread looks at the orders before it waits; only others must wake it.
  if (!IsFirst || std::this_thread::get_id() == m_Thread.get_id())
    return;
  std::uint64_t One = 1;
  [[maybe_unused]] ssize_t Written = write(m_Wake, &One, sizeof One);
}

void HttpClient::Impl::run() {
  while (!m_IsStopping) {
    drainOrders();
    // A call that was just added is due at once.
    runTimer();
    collect();
    limitHeld();
    wait();
  }
}

void HttpClient::Impl::drainOrders() {
  while (true) {
    m_Taken.clear();
    {
      absl::MutexLock Lock(&m_Mutex);
      m_Taken.swap(m_Orders);
    }
    if (m_Taken.empty())
      return;
    for (Order &Work : m_Taken) {
      if (Work.m_Request.m_Method.empty() && !Work.m_OnDone)
        stop(Work.m_Id);
      else
        accept(std::move(Work));
    }
  }
}

std::unique_ptr<ClientCall> HttpClient::Impl::makeCall() {
  if (m_Spare.empty()) {
    auto Call = std::make_unique<ClientCall>(m_Settings.m_MaxBodyBytes,
                                             m_HeldBytes, m_Sockets);
    curl_easy_setopt(Call->handle(), CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    return Call;
  }
  std::unique_ptr<ClientCall> Call = std::move(m_Spare.back());
  m_Spare.pop_back();
  return Call;
}

void HttpClient::Impl::start(Order Work) {
  std::unique_ptr<ClientCall> Call = makeCall();
  const absl::Duration Left = Work.m_Timeout - (steadyNow() - Work.m_Asked);
  bool IsSendable =
      Call->prepare(Work.m_Id, Work.m_Base, std::move(Work.m_Request), Left,
                    std::move(Work.m_OnDone), Work.m_Asked);
  if (!IsSendable) {
    end(std::move(Call), Failure::NotSent);
    return;
  }
  CURL *Handle = Call->handle();
  m_Calls.emplace(Work.m_Id, std::move(Call));
  curl_multi_add_handle(m_Multi, Handle);
}

void HttpClient::Impl::accept(Order Work) {
  if (m_Calls.size() < m_Settings.m_MaxConnections)
    start(std::move(Work));
  else
    m_Queue.push_back(std::move(Work));
}

void HttpClient::Impl::startQueued() {
  while (!m_Queue.empty() && m_Calls.size() < m_Settings.m_MaxConnections) {
    Order Work = std::move(m_Queue.front());
    m_Queue.pop_front();
    start(std::move(Work));
  }
}

void HttpClient::Impl::dropExpired() {
  const absl::Time Now = steadyNow();
  std::deque<Order> Kept;
  for (Order &Work : std::exchange(m_Queue, {})) {
    if (Now - Work.m_Asked < Work.m_Timeout)
      Kept.push_back(std::move(Work));
    else
      fail(Work, Failure::NotSent);
  }
  // A callback may have queued more; it is younger than what was kept.
  for (Order &Work : m_Queue)
    Kept.push_back(std::move(Work));
  m_Queue = std::move(Kept);
}

void HttpClient::Impl::fail(Order &Work, Failure What) {
  HttpResult Result;
  Result.m_Failure = What;
  Result.m_Latency = steadyNow() - Work.m_Asked;
  Work.m_OnDone(std::move(Result));
}

void HttpClient::Impl::stop(CallId Id, Failure What) {
  auto Queued =
      std::find_if(m_Queue.begin(), m_Queue.end(),
                   [&](const Order &Work) { return Work.m_Id == Id; });
  if (Queued != m_Queue.end()) {
    Order Work = std::move(*Queued);
    m_Queue.erase(Queued);
    fail(Work, What);
    return;
  }
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  std::unique_ptr<ClientCall> Call = std::move(Found->second);
  m_Calls.erase(Found);
  curl_multi_remove_handle(m_Multi, Call->handle());
  end(std::move(Call), What);
}

void HttpClient::Impl::limitHeld() {
  while (m_HeldBytes > m_Settings.m_MaxHeldBytes) {
    auto Largest = std::max_element(m_Calls.begin(), m_Calls.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second->heldBytes() <
                                             Right.second->heldBytes();
                                    });
    stop(Largest->first, Failure::TooLarge);
    startQueued();
  }
}

void HttpClient::Impl::end(std::unique_ptr<ClientCall> Call, Failure What) {
  Call->finish(What, steadyNow());
  if (m_Spare.size() < MaxSpareCalls)
    m_Spare.push_back(std::move(Call));
}

int HttpClient::Impl::waitMilliseconds() {
  {
    absl::MutexLock Lock(&m_Mutex);
    if (!m_Orders.empty())
      return 0;
  }
  absl::Duration Left = m_TimerAt - steadyNow();
  if (!m_Queue.empty())
    Left = std::min(Left, QueueCheckInterval);
  if (Left == absl::InfiniteDuration())
    return -1;
  return static_cast<int>(std::max<std::int64_t>(
      0, absl::ToInt64Milliseconds(absl::Ceil(Left, absl::Milliseconds(1)))));
}

void HttpClient::Impl::wait() {
  std::array<epoll_event, EventsPerWait> Events{};
  int Count =
      epoll_wait(m_Epoll, Events.data(), Events.size(), waitMilliseconds());
  for (int Index = 0; Index < Count; ++Index)
    onEvent(Events[Index].data.fd, Events[Index].events);
  if (m_Queue.empty())
    return;
  const absl::Time Now = steadyNow();
  if (Now < m_NextQueueCheck)
    return;
  m_NextQueueCheck = Now + QueueCheckInterval;
  dropExpired();
}

void HttpClient::Impl::runTimer() {
  if (m_TimerAt == absl::InfiniteFuture() || m_TimerAt > steadyNow())
    return;
  int Running = 0;
  m_TimerAt = absl::InfiniteFuture();
  curl_multi_socket_action(m_Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
}

void HttpClient::Impl::onEvent(int Socket, std::uint32_t Events) {
  if (Socket == m_Wake) {
    std::uint64_t Wakes = 0;
    [[maybe_unused]] ssize_t Read = read(m_Wake, &Wakes, sizeof Wakes);
    return;
  }
  int Running = 0;
  curl_multi_socket_action(m_Multi, Socket, curlEventsOf(Events), &Running);
  // libcurl walks its list of ended calls for each one taken out of it.
  collect();
}

void HttpClient::Impl::collect() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Code = Message->data.result;
    CURL *Handle = Message->easy_handle;
    void *Private = nullptr;
    curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Private);
    curl_multi_remove_handle(m_Multi, Handle);
    auto Found = m_Calls.find(static_cast<ClientCall *>(Private)->id());
    if (Found->second->takeStale()) {
      curl_multi_add_handle(m_Multi, Handle);
      continue;
    }
    std::unique_ptr<ClientCall> Call = std::move(Found->second);
    m_Calls.erase(Found);
    Failure What = Call->judge(Code);
    end(std::move(Call), What);
    startQueued();
  }
}

int HttpClient::Impl::onSocket(CURL *, curl_socket_t Socket, int What,
                               void *Self, void *Known) {
  auto &Client = *static_cast<Impl *>(Self);
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(Client.m_Epoll, EPOLL_CTL_DEL, Socket, nullptr);
    return 0;
  }
  epoll_event Event{};
  Event.events = epollEventsOf(What);
  Event.data.fd = Socket;
  int Operation = Known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(Client.m_Epoll, Operation, Socket, &Event);
  curl_multi_assign(Client.m_Multi, Socket, &Client);
  return 0;
}

int HttpClient::Impl::onTimer(CURLM *, long Milliseconds, void *Self) {
  auto &Client = *static_cast<Impl *>(Self);
  Client.m_TimerAt = Milliseconds < 0
                         ? absl::InfiniteFuture()
                         : steadyNow() + absl::Milliseconds(Milliseconds);
  return 0;
}

} // namespace knapweedloft::http
