#include "ExchangeHandle.h"
#include "ServerImpl.h"
#include "ServerProblem.h"
#include "SteadyNow.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace knapweedloft::http {
namespace {

/// A body past the limit is read and dropped up to this many limits, so that
/// its sender gets to read the refusal; past it the connection is closed.
constexpr std::uint64_t DiscardedBodies = 8;

MHD_Result collectHeader(void *Headers, MHD_ValueKind /*Kind*/,
                         const char *Name, const char *Value) {
  static_cast<HeaderList *>(Headers)->push_back(
      {Name, Value == nullptr ? "" : Value});
  return MHD_YES;
}

std::size_t countHeader(const HeaderList &Headers, const char *Name) {
  return static_cast<std::size_t>(
      std::count_if(Headers.begin(), Headers.end(), [&](const auto &Field) {
        return isSameName(Field.m_Name, Name);
      }));
}

/// \returns the declared length, 0 if there is none.
std::uint64_t contentLengthOf(const HttpRequest &Request) {
  const std::string *Value = findHeader(Request.m_Headers, "Content-Length");
  std::uint64_t Length = 0;
  if (Value != nullptr)
    std::from_chars(Value->data(), Value->data() + Value->size(), Length);
  return Length;
}

bool isSetByServer(const std::string &Name) {
  for (const char *Own : {"Connection", "Content-Length", "Transfer-Encoding",
                          "Keep-Alive", "Date"})
    if (isSameName(Name, Own))
      return true;
  return false;
}

ssize_t readNothing(void *, std::uint64_t, char *, std::size_t) {
  return MHD_CONTENT_READER_END_OF_STREAM;
}

/// An answer to HEAD declares the length of the body that it leaves out.
MHD_Response *makeHeadResponse(const HttpResponse &Answer) {
  const std::string *Declared = findHeader(Answer.m_Headers, "Content-Length");
  std::uint64_t Length = Answer.m_Body.size();
  if (Declared != nullptr)
    std::from_chars(Declared->data(), Declared->data() + Declared->size(),
                    Length);
  return MHD_create_response_from_callback(Length, 1, &readNothing, nullptr,
                                           nullptr);
}

MHD_Response *makeResponse(const HttpRequest &Request,
                           const HttpResponse &Answer) {
  if (Request.m_Method == "HEAD")
    return makeHeadResponse(Answer);
  return MHD_create_response_from_buffer(
      Answer.m_Body.size(), const_cast<char *>(Answer.m_Body.data()),
      MHD_RESPMEM_PERSISTENT);
}

} // namespace

std::uint64_t HttpServer::Impl::maxDiscardedBytes() const {
  return DiscardedBodies * m_Settings.m_MaxBodyBytes;
}

void *HttpServer::Impl::onRequestLine(void *Self, const char *Uri,
                                      MHD_Connection *Connection) {
  auto &Server = *static_cast<Impl *>(Self);
  auto *Peer = static_cast<ServerConnection *>(
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
          ->socket_context);
  auto *Context = new Handle(
      std::make_shared<PendingExchange>(Connection, Peer->m_IsFromLoopback));
  (*Context)->request().m_Path = Uri;
  Server.m_Watcher.beginTransfer(Peer->m_Id, steadyNow());
  return Context;
}

void HttpServer::Impl::onCompleted(void *Self, MHD_Connection *Connection,
                                   void **Context,
                                   MHD_RequestTerminationCode /*Code*/) {
  std::unique_ptr<Handle> Ended(static_cast<Handle *>(*Context));
  *Context = nullptr;
  if (!Ended)
    return;
  auto &Server = *static_cast<Impl *>(Self);
  if ((*Ended)->m_IsDispatched)
    --Server.m_Pending;
  auto *Peer = static_cast<ServerConnection *>(
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
          ->socket_context);
  if (Peer != nullptr)
    Server.m_Watcher.beginIdle(Peer->m_Id, steadyNow());
}

MHD_Result HttpServer::Impl::onRequest(void *Self, MHD_Connection *Connection,
                                       const char * /*Url*/, const char *Method,
                                       const char * /*Version*/,
                                       const char *Body, std::size_t *BodySize,
                                       void **Context) {
  auto &Server = *static_cast<Impl *>(Self);
  Handle &Pending = *static_cast<Handle *>(*Context);
  if (!Pending->m_HeadersRead)
    return Server.readHeaders(Connection, Method, *Pending);
  if (*BodySize == 0)
    return Server.finish(Connection, Pending);
  Server.readBody(*Pending, Body, *BodySize);
  *BodySize = 0;
  return Pending->m_BodyBytes > Server.maxDiscardedBytes() ? MHD_NO : MHD_YES;
}

MHD_Result HttpServer::Impl::readHeaders(MHD_Connection *Connection,
                                         const char *Method,
                                         PendingExchange &Pending) {
  Pending.m_HeadersRead = true;
  HttpRequest &Request = Pending.request();
  Request.m_Method = Method;
  MHD_get_connection_values(Connection, MHD_HEADER_KIND, &collectHeader,
                            &Request.m_Headers);
  std::size_t HeaderBytes =
      MHD_get_connection_info(Connection,
                              MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
          ->header_size;
  Pending.m_RefusalStatus = checkHeaders(Request, HeaderBytes);
  std::uint64_t Length = contentLengthOf(Request);
  if (Pending.m_RefusalStatus == 0 && Length > 0)
    Request.m_Body.reserve(Length);
  bool RefusesNow =
      Pending.m_RefusalStatus == 400 || Length > maxDiscardedBytes();
  return RefusesNow ? refuse(Connection, Pending) : MHD_YES;
}

int HttpServer::Impl::checkHeaders(const HttpRequest &Request,
                                   std::size_t HeaderBytes) const {
  if (HeaderBytes > m_Settings.m_MaxHeaderBytes)
    return 431;
  std::size_t Lengths = countHeader(Request.m_Headers, "Content-Length");
  std::size_t Encodings = countHeader(Request.m_Headers, "Transfer-Encoding");
  // Two ways to frame one body are a request smuggled past somebody.
  if (Lengths + Encodings > 1)
    return 400;
  if (contentLengthOf(Request) > m_Settings.m_MaxBodyBytes)
    return 413;
  return 0;
}

void HttpServer::Impl::readBody(PendingExchange &Pending, const char *Body,
                                std::size_t Size) {
  Pending.m_BodyBytes += Size;
  if (Pending.m_RefusalStatus == 0 &&
      Pending.m_BodyBytes > m_Settings.m_MaxBodyBytes) {
    Pending.m_RefusalStatus = 413;
    Pending.request().m_Body = std::string();
  }
  if (Pending.m_RefusalStatus == 0)
    Pending.request().m_Body.append(Body, Size);
}

MHD_Result HttpServer::Impl::finish(MHD_Connection *Connection,
                                    const Handle &Pending) {
  if (Pending->m_IsQueued)
    return MHD_YES;
  if (m_IsStopping)
    return MHD_NO;
  if (Pending->m_RefusalStatus != 0)
    return refuse(Connection, *Pending);
  auto *Peer = static_cast<ServerConnection *>(
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
          ->socket_context);
  if (!Pending->m_IsDispatched) {
    Pending->dispatch();
    if (!m_Watcher.beginWait(Peer->m_Id, Pending))
      return MHD_NO;
    Pending->m_IsDispatched = true;
    ++m_Pending;
    m_Settings.m_OnRequest(
        HttpExchange(std::make_shared<HttpExchange::Impl>(Pending)));
  }
  switch (Pending->settle()) {
  case PendingExchange::Next::Wait:
    return MHD_YES;
  case PendingExchange::Next::Close:
    return MHD_NO;
  case PendingExchange::Next::Send:
    break;
  }
  m_Watcher.beginTransfer(Peer->m_Id, steadyNow());
  return send(Connection, *Pending, Pending->response());
}

MHD_Result HttpServer::Impl::refuse(MHD_Connection *Connection,
                                    PendingExchange &Pending) {
  auto Reason = Pending.m_RefusalStatus == 413
                    ? model::RefusalReason::BodyTooLarge
                    : model::RefusalReason::BadRequest;
  Pending.m_Refusal =
      serverProblem(Pending.m_RefusalStatus, Reason, model::Ran::No);
  return send(Connection, Pending, Pending.m_Refusal);
}

MHD_Result HttpServer::Impl::send(MHD_Connection *Connection,
                                  PendingExchange &Pending,
                                  const HttpResponse &Answer) {
  MHD_Response *Response = makeResponse(Pending.request(), Answer);
  for (const HeaderField &Field : Answer.m_Headers)
    if (!isSetByServer(Field.m_Name))
      MHD_add_response_header(Response, Field.m_Name.c_str(),
                              Field.m_Value.c_str());
  if (m_IsQuiesced)
    MHD_add_response_header(Response, "Connection", "close");
  Pending.m_IsQueued = true;
  MHD_Result Result = MHD_queue_response(
      Connection, static_cast<unsigned>(Answer.m_Status), Response);
  MHD_destroy_response(Response);
  return Result;
}

} // namespace knapweedloft::http
