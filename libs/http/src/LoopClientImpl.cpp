#include "LoopClientImpl.h"

#include "KeepAlive.h"

#include "io/MonotonicClock.h"
#include "io/Sockets.h"

#include "fmt/format.h"

#include <algorithm>
#include <sys/epoll.h>

namespace knapweedloft::http {
namespace {

constexpr std::size_t ReadBytes = 64 << 10;
/// Time-outs are found this late at most, so that calls that end in time cost
/// no timer each.
constexpr absl::Duration SweepStep = absl::Milliseconds(20);
constexpr int FirstFinalStatus = 200;

std::string addressOf(const model::Endpoint &To) {
  return fmt::format("{}:{}", To.m_Address, To.m_Port);
}

} // namespace

LoopClient::Impl::Impl(io::EventLoop &Loop, Options Settings)
    : m_Loop(Loop), m_Settings(std::move(Settings)), m_ReadBuffer(ReadBytes) {}

LoopClient::Impl::~Impl() {
  *m_IsAlive = false;
  for (auto &[Id, Held] : m_Connections)
    m_Loop.unwatch(Held->m_Watch);
}

LoopClient::CallId LoopClient::Impl::send(Call Next, Done OnDone) {
  absl::Time Now = io::monotonicNow();
  CallId Id = ++m_LastCall;
  absl::Time Due = Now + Next.m_Timeout;
  m_Calls.emplace(Id, ActiveCall{.m_Call = std::move(Next),
                                 .m_OnDone = std::move(OnDone),
                                 .m_Started = Now,
                                 .m_Due = Due});
  m_Dues.emplace(Due, Id);
  scheduleSweep(Due);
  begin(Id);
  return Id;
}

void LoopClient::Impl::begin(CallId Id) {
  ActiveCall &Active = m_Calls.at(Id);
  ClientConnection *Held = takeIdle(Active.m_Call, io::monotonicNow());
  if (!Held)
    Held = open(Active.m_Call);
  if (!Held) {
    m_Loop.post([this, Id, IsAlive = m_IsAlive] {
      if (*IsAlive)
        finish(Id, {.m_Failure = Failure::NotSent});
    });
    return;
  }
  Active.m_Connection = Held->m_Id;
  Held->m_Call = Id;
  Held->m_Output.append(Active.m_Call.m_Text);
  if (!Held->m_IsConnecting)
    write(*Held);
}

ClientConnection *LoopClient::Impl::takeIdle(const Call &Next, absl::Time Now) {
  std::vector<std::uint64_t> &Idle = m_Idle[addressOf(Next.m_To)];
  while (!Idle.empty()) {
    ClientConnection *Held = find(Idle.back());
    if (Held && Now < Held->m_IdleUntil &&
        Now - Held->m_IdleSince > Next.m_MaxIdleFor)
      return nullptr; // Those before it have been idle for longer.
    Idle.pop_back();
    if (!Held)
      continue;
    if (Now >= Held->m_IdleUntil) {
      close(Held->m_Id, ConnectionEnd::Expired);
      continue;
    }
    // The loop may not have come to read that the server closed it, or bytes
    // that would pass for the answer to this call.
    if (auto Unread = io::receive(Held->m_Socket.get(), m_ReadBuffer.data(),
                                  m_ReadBuffer.size())) {
      close(Held->m_Id,
            *Unread > 0 ? ConnectionEnd::Unasked : ConnectionEnd::ServerClosed);
      continue;
    }
    Held->m_IdleSince = absl::InfiniteFuture();
    Held->m_WasUsed = true;
    return Held;
  }
  return nullptr;
}

ClientConnection *LoopClient::Impl::open(const Call &Next) {
  const model::Endpoint &To = Next.m_To;
  io::FileDescriptor Socket = io::connectTo(To);
  if (!Socket.isValid())
    return nullptr;
  const std::vector<std::uint64_t> &Idle = m_Idle[addressOf(To)];
  ConnectionNeed Need =
      Idle.empty() ? ConnectionNeed::NoneIdle : ConnectionNeed::IdleTooLong;
  // Else calls that come seldom would keep ever more.
  if (Need == ConnectionNeed::IdleTooLong)
    close(Idle.front(), ConnectionEnd::Replaced);
  ++m_Counts.m_Opened[static_cast<std::size_t>(Need)];
  std::uint64_t Id = ++m_LastConnection;
  auto Made = std::make_unique<ClientConnection>(ClientConnection{
      .m_Id = Id,
      .m_To = To,
      .m_Socket = std::move(Socket),
      .m_Parser =
          MessageParser(MessageKind::Response,
                        {.m_MaxBodyBytes = m_Settings.m_MaxAnswerBytes}),
      .m_Events = EPOLLOUT});
  Made->m_Watch =
      m_Loop.watch(Made->m_Socket.get(), EPOLLOUT,
                   [this, Id](std::uint32_t Events) { onReady(Id, Events); });
  ClientConnection *Held = Made.get();
  m_Connections.emplace(Id, std::move(Made));
  m_Loop.post(
      [this, Id, IsAlive = m_IsAlive] {
        ClientConnection *Late = *IsAlive ? find(Id) : nullptr;
        if (Late && Late->m_IsConnecting)
          breakOff(*Late);
      },
      m_Settings.m_ConnectTimeout);
  return Held;
}

ClientConnection *LoopClient::Impl::find(std::uint64_t Id) {
  auto Found = m_Connections.find(Id);
  return Found == m_Connections.end() ? nullptr : Found->second.get();
}

void LoopClient::Impl::onReady(std::uint64_t Id, std::uint32_t Events) {
  ClientConnection *Held = find(Id);
  if (!Held)
    return;
  if (Held->m_IsConnecting)
    return onConnected(*Held);
  if (Events & EPOLLOUT)
    write(*Held);
  if (Events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    read(Id);
}

void LoopClient::Impl::onConnected(ClientConnection &Held) {
  if (io::pendingError(Held.m_Socket.get()) != 0)
    return breakOff(Held);
  Held.m_IsConnecting = false;
  write(Held);
}

void LoopClient::Impl::write(ClientConnection &Held) {
  WriteBuffer::Result Result = Held.m_Output.flush(Held.m_Socket.get());
  bool IsBlocked = Result == WriteBuffer::Result::Blocked;
  bool IsBroken = Result == WriteBuffer::Result::Broken;
  Held.m_IsBroken = Held.m_IsBroken || IsBroken;
  bool IsAtEnd = IsBroken || Result == WriteBuffer::Result::Ended;
  // Behind a part of the request an answer may still wait to be read.
  if (IsAtEnd && Held.m_WasUsed && isUnsent(Held))
    return breakOff(Held);
  setEvents(Held, EPOLLIN | (IsBlocked ? EPOLLOUT : 0U));
}

void LoopClient::Impl::setEvents(ClientConnection &Held, std::uint32_t Events) {
  if (Held.m_Events == Events)
    return;
  Held.m_Events = Events;
  m_Loop.rewatch(Held.m_Watch, Events);
}

void LoopClient::Impl::read(std::uint64_t Id) {
  ClientConnection *Held = find(Id);
  if (!Held)
    return;
  auto Bytes = io::receive(Held->m_Socket.get(), m_ReadBuffer.data(),
                           m_ReadBuffer.size());
  if (!Bytes)
    return;
  if (*Bytes <= 0)
    return onEnd(*Held, *Bytes == 0 && !Held->m_IsBroken);
  if (Held->m_Call == 0)
    return close(Id, ConnectionEnd::Unasked);
  Held->m_Parser.feed({m_ReadBuffer.data(), static_cast<std::size_t>(*Bytes)});
  takeAnswers(Id);
  Held = find(Id);
  if (!Held)
    return;
  if (Held->m_Parser.state() != ParseState::Good)
    return breakOff(*Held);
  countHeld(*Held, Held->m_Parser.heldBytes());
  limitHeld();
}

void LoopClient::Impl::countHeld(ClientConnection &Held, std::size_t Bytes) {
  m_HeldBytes = m_HeldBytes - Held.m_HeldBytes + Bytes;
  Held.m_HeldBytes = Bytes;
}

void LoopClient::Impl::limitHeld() {
  while (m_HeldBytes > m_Settings.m_MaxHeldBytes) {
    auto Largest = std::max_element(m_Connections.begin(), m_Connections.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second->m_HeldBytes <
                                             Right.second->m_HeldBytes;
                                    });
    breakOff(*Largest->second);
  }
}

void LoopClient::Impl::onEnd(ClientConnection &Held, bool IsOrderly) {
  if (Held.m_Call == 0)
    return close(Held.m_Id, ConnectionEnd::ServerClosed);
  std::uint64_t Id = Held.m_Id;
  if (IsOrderly) {
    // An answer without a length ends with its connection.
    Held.m_Parser.feedEnd();
    takeAnswers(Id);
  }
  if (ClientConnection *Left = find(Id))
    breakOff(*Left);
}

void LoopClient::Impl::takeAnswers(std::uint64_t Id) {
  while (ClientConnection *Held = find(Id)) {
    if (!Held->m_Parser.hasMessage())
      return;
    if (Held->m_Call == 0)
      return close(Id, ConnectionEnd::Unasked);
    accept(*Held, Held->m_Parser.take());
  }
}

void LoopClient::Impl::skip(ClientConnection &Held) {
  if (++Held.m_Skipped > m_Settings.m_MaxSkipped)
    breakOff(Held);
}

bool LoopClient::Impl::isOwn(const ClientConnection &Held,
                             const HttpResponse &Response,
                             const Call &Waiting) {
  if (m_Settings.m_IsOwn && !m_Settings.m_IsOwn(Response, Waiting.m_Tag))
    return false;
  if (!m_Settings.m_IsNamed || Waiting.m_Tag.empty())
    return true;
  if (m_Settings.m_IsNamed(Response)) {
    m_NamesCalls.insert(addressOf(Held.m_To));
    return true;
  }
  return !Held.m_WasUsed || !m_NamesCalls.contains(addressOf(Held.m_To));
}

bool LoopClient::Impl::mayBeMistaken(const ClientConnection &Held) const {
  return m_Settings.m_IsNamed && !m_NamesCalls.contains(addressOf(Held.m_To));
}

void LoopClient::Impl::accept(ClientConnection &Held, ParsedMessage Message) {
  if (Message.m_Status < FirstFinalStatus)
    return skip(Held);
  ActiveCall &Active = m_Calls.at(Held.m_Call);
  HttpResponse Response{.m_Status = Message.m_Status,
                        .m_Headers = std::move(Message.m_Headers),
                        .m_Body = std::move(Message.m_Body)};
  if (!isOwn(Held, Response, Active.m_Call)) {
    if (!Message.m_KeepsOpen)
      return breakOff(Held);
    return skip(Held);
  }
  CallId Call = std::exchange(Held.m_Call, 0);
  bool IsReusable = Message.m_KeepsOpen && Held.m_Output.left() == 0 &&
                    Held.m_Parser.state() == ParseState::Good &&
                    !Held.m_Parser.hasMessage() && !Held.m_Parser.isInside() &&
                    !mayBeMistaken(Held);
  if (IsReusable)
    keep(Held, Response, io::monotonicNow());
  else
    close(Held.m_Id, ConnectionEnd::ServerSaid);
  finish(Call, {.m_Response = std::move(Response)});
}

void LoopClient::Impl::keep(ClientConnection &Held, const HttpResponse &Last,
                            absl::Time Now) {
  std::vector<std::uint64_t> &Idle = m_Idle[addressOf(Held.m_To)];
  if (Idle.size() >= m_Settings.m_MaxIdle)
    return close(Held.m_Id, ConnectionEnd::Surplus);
  countHeld(Held, 0);
  Held.m_Skipped = 0;
  Held.m_IdleSince = Now;
  Held.m_IdleUntil = Now + idleTimeAfter(Last, m_Settings.m_MaxIdleFor);
  Idle.push_back(Held.m_Id);
}

bool LoopClient::Impl::isUnsent(const ClientConnection &Held) const {
  auto Found = m_Calls.find(Held.m_Call);
  if (Found == m_Calls.end())
    return Held.m_Output.totalWritten() == 0;
  // On a used connection the bytes of earlier calls count as written, so what
  // is left is compared with the whole request.
  return Held.m_Output.left() == Found->second.m_Call.m_Text.size();
}

void LoopClient::Impl::breakOff(ClientConnection &Held) {
  bool IsUnsent = isUnsent(Held);
  AnswerFault Fault = Held.m_Parser.fault();
  CallId Call = std::exchange(Held.m_Call, 0);
  bool MayRepeat = IsUnsent && Held.m_WasUsed && m_Calls.contains(Call);
  close(Held.m_Id, ConnectionEnd::Broken);
  if (Call == 0)
    return;
  if (MayRepeat)
    begin(Call);
  else
    finish(Call, {.m_Failure = IsUnsent ? Failure::NotSent : Failure::Cut,
                  .m_Fault = Fault});
}

void LoopClient::Impl::close(std::uint64_t Id, ConnectionEnd Why) {
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return;
  std::unique_ptr<ClientConnection> Held = std::move(Found->second);
  m_Connections.erase(Found);
  ++m_Counts.m_Closed[static_cast<std::size_t>(Why)];
  countHeld(*Held, 0);
  m_Loop.unwatch(Held->m_Watch);
  auto Kept = m_Idle.find(addressOf(Held->m_To));
  if (Kept != m_Idle.end())
    std::erase(Kept->second, Id);
}

void LoopClient::Impl::finish(CallId Id, HttpResult Result) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  ActiveCall Done = std::move(Found->second);
  m_Calls.erase(Found);
  m_Dues.erase({Done.m_Due, Id});
  absl::Time Now = io::monotonicNow();
  Result.m_Latency = Now - Done.m_Started;
  Done.m_OnDone(std::move(Result), Now);
}

void LoopClient::Impl::cancel(CallId Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  std::uint64_t Connection = Found->second.m_Connection;
  m_Dues.erase({Found->second.m_Due, Id});
  m_Calls.erase(Found);
  if (ClientConnection *Held = find(Connection)) {
    Held->m_Call = 0;
    close(Connection, ConnectionEnd::Cancelled);
  }
}

void LoopClient::Impl::scheduleSweep(absl::Time Due) {
  if (Due >= m_NextSweep)
    return;
  m_NextSweep = Due;
  m_Loop.post(
      [this, Due, IsAlive = m_IsAlive] {
        if (*IsAlive && m_NextSweep == Due)
          sweep();
      },
      std::max(Due - io::monotonicNow(), SweepStep));
}

void LoopClient::Impl::sweep() {
  m_NextSweep = absl::InfiniteFuture();
  absl::Time Now = io::monotonicNow();
  while (!m_Dues.empty() && m_Dues.begin()->first <= Now) {
    CallId Id = m_Dues.begin()->second;
    std::uint64_t Connection = m_Calls.at(Id).m_Connection;
    ClientConnection *Held = find(Connection);
    bool IsUnsent = !Held || Held->m_IsConnecting;
    if (Held) {
      Held->m_Call = 0;
      close(Connection, ConnectionEnd::TimedOut);
    }
    finish(Id, {.m_Failure = IsUnsent ? Failure::NotSent : Failure::TimedOut});
  }
  if (!m_Dues.empty())
    scheduleSweep(m_Dues.begin()->first);
}

} // namespace knapweedloft::http
