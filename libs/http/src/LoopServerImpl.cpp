#include "LoopServerImpl.h"

#include "http/HttpError.h"
#include "http/MessageText.h"
#include "io/IoError.h"
#include "io/Sockets.h"

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

namespace knapweedloft::http {
namespace {

/// More than the answers and requests of a usual call in one read.
constexpr std::size_t ReadBytes = 32 << 10;
constexpr int Unavailable = 503;
/// More than a peer sends before it has read the last answer, unless it does
/// not look for it.
constexpr std::size_t MaxDroppedBytes = std::size_t{4} << 20;

int statusOf(ParseState Reason) {
  constexpr int BadRequest = 400;
  constexpr int ContentTooLarge = 413;
  constexpr int HeadersTooLarge = 431;
  switch (Reason) {
  case ParseState::BodyTooLong:
    return ContentTooLarge;
  case ParseState::HeadersTooLong:
    return HeadersTooLarge;
  default:
    return BadRequest;
  }
}

std::size_t indexOf(CallerConnectionEnd Why) {
  return static_cast<std::size_t>(Why);
}

} // namespace

LoopServer::Impl::Impl(io::EventLoop &Loop, Options Settings)
    : m_Settings(std::move(Settings)), m_Loop(Loop), m_ReadBuffer(ReadBytes) {
  listen();
  sweep();
}

LoopServer::Impl::~Impl() {
  *m_IsAlive = false;
  m_Settings.m_Hooks = {};
  m_Acceptor->stop();
  while (!m_Connections.empty())
    close(m_Connections.begin()->first, CallerConnectionEnd::Stopped);
}

void LoopServer::Impl::listen() {
  try {
    m_Acceptor = std::make_unique<io::Acceptor>(
        m_Loop, m_Settings.m_At,
        [this](io::FileDescriptor Socket, std::string From) {
          if (m_Connections.size() < m_Settings.m_MaxConnections)
            add(std::move(Socket), std::move(From));
          else
            ++m_Counts.m_Closed[indexOf(CallerConnectionEnd::TooMany)];
        });
  } catch (const io::IoError &Error) {
    throw HttpError(Error.what());
  }
  m_Port = m_Acceptor->endpoint().m_Port;
}

void LoopServer::Impl::add(io::FileDescriptor Socket, std::string From) {
  (void)waitsForOthers(); // Its request may have come during a pause.
  std::uint64_t Id = ++m_LastId;
  absl::Time Now = m_Settings.m_Clock();
  auto Held = std::make_unique<ServerConnection>(ServerConnection{
      .m_Id = Id,
      .m_Socket = std::move(Socket),
      .m_From = std::move(From),
      .m_Parser = MessageParser(
          MessageKind::Request,
          {.m_MaxHeaderBytes = m_Settings.m_Limits.m_MaxHeaderBytes,
           .m_MaxBodyBytes = m_Settings.m_Limits.m_MaxBodyBytes}),
      .m_Events = EPOLLIN,
      .m_LastActive = Now,
      .m_ReadsSince = Now,
      .m_LastWritten = Now,
      .m_Share = policy::HeldBytes(m_Settings.m_Budget)});
  Held->m_Watch =
      m_Loop.watch(Held->m_Socket.get(), EPOLLIN,
                   [this, Id](std::uint32_t Events) { onReady(Id, Events); });
  setEvents(*m_Connections.emplace(Id, std::move(Held)).first->second);
}

ServerConnection *LoopServer::Impl::find(std::uint64_t Id) {
  auto Found = m_Connections.find(Id);
  return Found == m_Connections.end() ? nullptr : Found->second.get();
}

void LoopServer::Impl::onReady(std::uint64_t Id, std::uint32_t Events) {
  if (Events & EPOLLOUT) {
    if (ServerConnection *Held = find(Id))
      flush(*Held);
  }
  if (Events & EPOLLRDHUP)
    // The peer, which is not read, is gone.
    return close(Id, CallerConnectionEnd::CallerLeft);
  if (!(Events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    return;
  if (!waitsForOthers())
    read(Id);
  else if (Events & (EPOLLHUP | EPOLLERR))
    close(Id, CallerConnectionEnd::CallerLeft);
}

void LoopServer::Impl::read(std::uint64_t Id) {
  ServerConnection *Held = find(Id);
  if (!Held)
    return;
  auto Bytes = io::receive(Held->m_Socket.get(), m_ReadBuffer.data(),
                           m_ReadBuffer.size());
  if (!Bytes)
    return;
  if (*Bytes <= 0)
    return close(Id, CallerConnectionEnd::CallerLeft);
  m_Counts.m_BytesRead += static_cast<std::uint64_t>(*Bytes);
  absl::Time Now = m_Settings.m_Clock();
  Held->m_LastRead = Now;
  if (Held->m_StopsReading) {
    // Dropped: the answer that closes the connection is on its way.
    Held->m_DroppedBytes += static_cast<std::size_t>(*Bytes);
    bool IsWritten = Held->m_LingersSince != absl::InfiniteFuture();
    if (IsWritten && Held->m_DroppedBytes > MaxDroppedBytes)
      close(Id, CallerConnectionEnd::Refused);
    return;
  }
  std::uint64_t Begun = Held->m_Parser.begun();
  ParseState State = Held->m_Parser.feed(
      {m_ReadBuffer.data(), static_cast<std::size_t>(*Bytes)});
  // One read may end a request, hold others and begin the next.
  if (Held->m_Parser.begun() != Begun)
    Held->m_MessageSince = Now;
  countHeld(*Held, Held->m_Parser.heldBytes());
  if (Held->m_Parser.takeContinueWanted()) {
    Held->m_Output.append("HTTP/1.1 100 Continue\r\n\r\n");
    flush(*Held);
  }
  takeMessages(Id);
  Held = find(Id);
  if (!Held)
    return;
  if (State != ParseState::Good && !Held->m_StopsReading)
    // The answer is that of the first request behind those handed over.
    refuseRest(*Held,
               Held->m_Parser.hasMessage() ? Unavailable : statusOf(State),
               CallerConnectionEnd::Refused);
  limitHeld();
  limitAll();
}

void LoopServer::Impl::takeMessages(std::uint64_t Id) {
  while (ServerConnection *Held = find(Id)) {
    bool IsFull = Held->m_Exchanges.size() >= m_Settings.m_MaxPipelined;
    if (IsFull || isBehind(*Held) || Held->m_StopsReading ||
        !Held->m_Parser.hasMessage()) {
      countHeld(*Held,
                Held->m_Parser.heldBytes() + Held->m_Parser.readyBytes());
      return setEvents(*Held);
    }
    ParsedMessage Message = Held->m_Parser.take();
    if (m_Settings.m_Clock() < m_MeasuresUntil)
      Message.m_Waited = io::sinceLastInput(Held->m_Socket.get());
    ExchangeId Next{Id, ++Held->m_LastSequence};
    Held->m_Exchanges.push_back({.m_Sequence = Next.m_Sequence,
                                 .m_IsHead = Message.m_Method == "HEAD",
                                 .m_KeepsOpen = Message.m_KeepsOpen});
    if (!Message.m_KeepsOpen)
      Held->m_StopsReading = true;
    ++m_Pending;
    std::size_t Bytes = Message.bytes();
    if (!hasRoomFor(Bytes)) {
      write(Next, Unavailable, "", "");
      continue;
    }
    countRequest(*Held, Held->m_Exchanges.back(), Bytes);
    m_Settings.m_Hooks.m_OnRequest(Next, std::move(Message), Held->m_From);
  }
}

void LoopServer::Impl::answer(ExchangeId Id, int Status, std::string_view Lines,
                              std::string_view Body) {
  write(Id, Status, Lines, Body);
  limitAll();
}

void LoopServer::Impl::write(ExchangeId Id, int Status, std::string_view Lines,
                             std::string_view Body) {
  ServerConnection *Held = find(Id.m_Connection);
  if (!Held)
    return;
  auto Found = std::find_if(
      Held->m_Exchanges.begin(), Held->m_Exchanges.end(),
      [&](const auto &One) { return One.m_Sequence == Id.m_Sequence; });
  if (Found == Held->m_Exchanges.end() || Found->m_Answer)
    return;
  --m_Pending;
  countRequest(*Held, *Found, 0);
  std::uint64_t Connection = Held->m_Id;
  bool WasFull = Held->m_Exchanges.size() >= m_Settings.m_MaxPipelined;
  if (Found == Held->m_Exchanges.begin()) {
    writeFirst(*Held, Status, Lines, Body);
    writeAnswered(*Held);
  } else {
    Found->m_Answer = {Status, std::string(Lines), std::string(Body)};
    Held->m_WaitingBytes += Found->m_Answer->bytes();
  }
  flush(*Held);
  if (WasFull && find(Connection))
    takeMessagesLater(Connection);
}

void LoopServer::Impl::takeMessagesLater(std::uint64_t Id) {
  m_Loop.post([this, Id, IsAlive = m_IsAlive] {
    if (*IsAlive)
      takeMessages(Id);
  });
}

void LoopServer::Impl::writeFirst(ServerConnection &Held, int Status,
                                  std::string_view Lines,
                                  std::string_view Body) {
  ServerConnection::Exchange &Done = Held.m_Exchanges.front();
  // While the server closes, the last answer on a connection announces it. An
  // answer that others follow leaves it open, since requests behind a closing
  // answer count as not read.
  bool IsLast = Held.m_Exchanges.size() == 1 && !Held.m_Parser.hasMessage();
  bool Closes = !Done.m_KeepsOpen || (m_IsClosing && IsLast);
  std::string Bytes;
  appendResponse(Bytes, Status, Lines, Body, Closes, Done.m_IsHead);
  Held.m_Output.append(std::move(Bytes));
  if (Closes)
    Held.m_ClosesAfterWrite = Held.m_StopsReading = true;
  Held.m_Exchanges.pop_front();
}

void LoopServer::Impl::writeAnswered(ServerConnection &Held) {
  while (!Held.m_Exchanges.empty() && Held.m_Exchanges.front().m_Answer) {
    ServerConnection::Answer Next =
        *std::exchange(Held.m_Exchanges.front().m_Answer, std::nullopt);
    Held.m_WaitingBytes -= Next.bytes();
    writeFirst(Held, Next.m_Status, Next.m_Lines, Next.m_Body);
  }
}

void LoopServer::Impl::flush(ServerConnection &Held) {
  std::size_t Before = Held.m_Output.totalWritten();
  bool WasBehind = isBehind(Held);
  WriteBuffer::Result Result = Held.m_Output.flush(Held.m_Socket.get());
  if (Held.m_Output.totalWritten() != Before)
    Held.m_LastWritten = m_Settings.m_Clock();
  if (Result == WriteBuffer::Result::Ended ||
      Result == WriteBuffer::Result::Broken)
    return close(Held.m_Id, CallerConnectionEnd::CallerLeft);
  bool IsDone = Result == WriteBuffer::Result::Empty;
  if (IsDone && Held.m_Exchanges.empty()) {
    Held.m_LastActive = m_Settings.m_Clock();
    if (Held.m_ClosesAfterWrite)
      endWriting(Held, CallerConnectionEnd::LastAnswer);
  }
  count(Held);
  setEvents(Held);
  if (WasBehind && !isBehind(Held))
    takeMessagesLater(Held.m_Id);
}

void LoopServer::Impl::endWriting(ServerConnection &Held,
                                  CallerConnectionEnd Why) {
  if (Held.m_LingersSince != absl::InfiniteFuture())
    return;
  if (!Held.m_EndsBy)
    Held.m_EndsBy = Why;
  Held.m_StopsReading = true;
  Held.m_LingersSince = m_Settings.m_Clock();
  countHeld(Held, 0);
  io::endWriting(Held.m_Socket.get());
}

void LoopServer::Impl::setEvents(ServerConnection &Held) {
  std::uint32_t Events = Held.m_Output.left() > 0 ? EPOLLOUT : 0U;
  // Reading goes on while requests are under way: it shows that a peer left.
  bool IsFull = Held.m_Exchanges.size() >= m_Settings.m_MaxPipelined;
  if (isBehind(Held) || IsFull)
    Events |= EPOLLRDHUP;
  else if (!m_IsWaiting)
    Events |= EPOLLIN;
  if (Events == Held.m_Events)
    return;
  bool WasRead = Held.isRead();
  Held.m_Events = Events;
  if (Held.isRead() && !WasRead)
    Held.m_ReadsSince = m_Settings.m_Clock();
  m_Loop.rewatch(Held.m_Watch, Events);
}

void LoopServer::Impl::close(std::uint64_t Id, CallerConnectionEnd Why) {
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return;
  std::unique_ptr<ServerConnection> Held = std::move(Found->second);
  m_Connections.erase(Found);
  countHeld(*Held, 0);
  m_Loop.unwatch(Held->m_Watch);
  // All answers are written; what made the server end the connection counts.
  if (Held->m_LingersSince != absl::InfiniteFuture())
    Why = Held->m_EndsBy.value_or(Why);
  ++m_Counts.m_Closed[indexOf(Why)];
  m_Counts.m_Unanswered[indexOf(Why)] += Held->m_Exchanges.size();
  for (ServerConnection::Exchange &Open : Held->m_Exchanges) {
    countRequest(*Held, Open, 0);
    if (Open.m_Answer)
      continue;
    --m_Pending;
    // Not at once: this may run inside a call of answer().
    m_Loop.post([this, Gone = ExchangeId{Id, Open.m_Sequence}, Why,
                 IsAlive = m_IsAlive] {
      if (*IsAlive && m_Settings.m_Hooks.m_OnGone)
        m_Settings.m_Hooks.m_OnGone(Gone, Why);
    });
  }
}

void LoopServer::Impl::beginClosing() { m_IsClosing = true; }

void LoopServer::Impl::endIdle() {
  m_Acceptor->takeRestAndStop();
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Held] : m_Connections)
    Ids.push_back(Id);
  for (std::uint64_t Id : Ids) {
    read(Id);
    ServerConnection *Held = find(Id);
    // A caller that has just connected is about to send.
    bool IsNew = Held && Held->m_LastSequence == 0;
    if (Held && !IsNew && isIdle(*Held))
      endWriting(*Held, CallerConnectionEnd::Stopped);
  }
}

bool LoopServer::Impl::isIdle(const ServerConnection &Held) {
  return Held.m_Exchanges.empty() && Held.m_Output.left() == 0 &&
         !Held.m_Parser.isInside();
}

bool LoopServer::Impl::isIdle() const {
  return std::all_of(m_Connections.begin(), m_Connections.end(),
                     [](const auto &One) { return isIdle(*One.second); });
}

} // namespace knapweedloft::http
